// Package gateway is the HTTP API of a daemon for callers and operators. It
// authenticates and admits requests, routes them to engines, retries failed
// attempts, streams answers, and serves files and batch jobs. Create a Gateway
// with New, run it with Serve and stop it with Shutdown.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"topazpulley/internal/admission"
	"topazpulley/internal/batch"
	"topazpulley/internal/boottime"
	"topazpulley/internal/bundle"
	"topazpulley/internal/cluster"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/httphead"
	"topazpulley/internal/peer"
	"topazpulley/internal/ratelimit"
	"topazpulley/internal/registry"
	"topazpulley/internal/revision"
	"topazpulley/internal/routing"
	"topazpulley/internal/serving"
	"topazpulley/internal/settings"
	"topazpulley/internal/stopping"
	"topazpulley/internal/storage"
	"topazpulley/internal/telemetry"
	"topazpulley/internal/tenant"
)

// Headers of requests and responses.
const (
	HeaderRepeatable     = "X-Repeatable"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderRequestID      = "X-Request-Id"
	HeaderRevision       = "X-Topazpulley-Revision"
	HeaderCutOff         = "X-Topazpulley-Cut-Off"
	HeaderHop            = "X-Topazpulley-Hop"
)

const (
	retryShare         = 0.2
	retryReserve       = 50
	minimumLimit       = 4
	maxHeaderBytes     = 64 << 10
	readHeaderTimeout  = 15 * time.Second
	idleTimeout        = 2 * time.Minute
	cutOffAfter        = 20 * time.Second
	writeTimeout       = 30 * time.Second
	maxConnsPerAddress = 2048
)

// Yielder reduces the batch work of engines that this daemon supervises, in
// favor of online requests.
type Yielder interface {
	// Yield shrinks the engine's batch window for the given number of online
	// requests.
	Yield(engine string, online int)
}

// Dependencies are the components and settings that a gateway uses.
type Dependencies struct {
	Settings    settings.Settings
	Node        *cluster.Node
	Transport   *peer.Transport
	Registry    *registry.Registry
	Holder      *revision.Holder
	Log         *revision.Log
	Watcher     *revision.Watcher
	Platform    *storage.Client
	Engines     *engine.Client
	Store       *batch.Store
	Coordinator *batch.Coordinator
	Worker      *batch.Worker
	Yielder     Yielder
	// Limits applies the tenants' request rates across the fleet.
	Limits  *ratelimit.Limiter
	Metrics *telemetry.Metrics
	Logger  *slog.Logger
	// Clock includes time during which the machine was suspended; nil means the
	// system's clock.
	Clock boottime.Clock
	// Wakeups ends request contexts whose deadline passed while the machine was
	// suspended; if nil, they end only when their timers fire.
	Wakeups *boottime.Wakeups
	Routing routing.Policy
	// WithoutHints disables preemption hints, for experiments.
	WithoutHints bool
	// Describe returns this daemon's duties for the status page.
	Describe func() Duties
}

// Gateway serves the HTTP API.
type Gateway struct {
	Dependencies
	server   *fasthttp.Server
	forward  *forwardClient
	inUse    *admission.Concurrency
	retries  *admission.RetryBudget
	metrics  fasthttp.RequestHandler
	lifetime context.Context
	inFlight sync.WaitGroup
	active   atomic.Int64
	// backgroundSaves counts answers that wait to be stored in the background.
	backgroundSaves atomic.Int64
	ready           atomic.Bool
	// stop decides which requests are served while the daemon stops, by the durations of recent ones.
	stop      *stopping.Stop
	durations *stopping.Durations

	// mutex guards the fields below.
	mutex    sync.Mutex
	router   *routing.Router
	limiters map[string]*admission.Limiter
	// hintedAt is the time of the last preemption hint, by engine.
	hintedAt map[string]time.Time
}

// New creates a gateway. Its work stops when the lifetime context ends.
func New(lifetime context.Context, dependencies Dependencies) *Gateway {
	gateway := &Gateway{
		Dependencies: dependencies,
		inUse:        admission.NewConcurrency(),
		retries:      admission.NewRetryBudget(retryShare, retryReserve),
		router:       routing.NewRouter(dependencies.Routing, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		limiters:     map[string]*admission.Limiter{},
		hintedAt:     map[string]time.Time{},
		lifetime:     lifetime,
		stop:         stopping.New(),
		durations:    stopping.NewDurations(),
	}
	peer.Handle(dependencies.Transport, MethodKeepResult, gateway.keepResult)
	gateway.metrics = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(dependencies.Metrics.Registry, promhttp.HandlerOpts{}))
	gateway.forward = newForwardClient(dependencies.Settings)
	gateway.server = &fasthttp.Server{
		Handler:                       gateway.handle,
		NoDefaultServerHeader:         true,
		MaxRequestBodySize:            dependencies.Settings.MaxBodyBytes,
		Concurrency:                   dependencies.Settings.MaxConnections,
		ReadBufferSize:                maxHeaderBytes,
		ReadTimeout:                   readHeaderTimeout,
		WriteTimeout:                  writeTimeout,
		IdleTimeout:                   idleTimeout,
		CloseOnShutdown:               true,
		StreamRequestBody:             false,
		DisablePreParseMultipartForm:  true,
		ErrorHandler:                  gateway.handleProtocolError,
		DisableHeaderNamesNormalizing: false,
	}
	return gateway
}

// Serve accepts connections on a listener until Shutdown.
func (g *Gateway) Serve(listener net.Listener) error { return g.server.Serve(listener) }

// SetReady sets whether the daemon accepts callers' requests.
func (g *Gateway) SetReady(ready bool) { g.ready.Store(ready) }

// BeginStop makes /readyz fail. Requests are still served if they end before the stop does.
func (g *Gateway) BeginStop(plan stopping.Plan) { g.stop.Begin(plan) }

// Wait returns when no request is in flight or the context ends.
func (g *Gateway) Wait(ctx context.Context) {
	idle := make(chan struct{})
	go func() {
		g.inFlight.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// Shutdown stops listening and closes idle connections.
func (g *Gateway) Shutdown(ctx context.Context) error { return g.server.ShutdownWithContext(ctx) }

// handleProtocolError answers requests that fasthttp cannot parse.
func (g *Gateway) handleProtocolError(call *fasthttp.RequestCtx, err error) {
	var tooSmall *fasthttp.ErrSmallBuffer
	switch {
	case err == fasthttp.ErrBodyTooLarge:
		g.writeFailure(call, failure.New(failure.KindTooLarge, "body_too_large", "the request body exceeds %d bytes", g.Settings.MaxBodyBytes).WithNotRun())
	case isSmallBuffer(err, &tooSmall):
		g.writeFailure(call, failure.New(failure.KindTooLarge, "headers_too_large", "the request headers exceed %d bytes", maxHeaderBytes).WithNotRun())
	default:
		g.writeFailure(call, failure.New(failure.KindInvalid, "bad_http", "the request cannot be read or was not sent in time").WithNotRun())
	}
}

func isSmallBuffer(err error, target **fasthttp.ErrSmallBuffer) bool {
	found, ok := err.(*fasthttp.ErrSmallBuffer)
	*target = found
	return ok
}

// endPanic ends the panic of a call, which would end the process with all other calls. It must be
// deferred. The request may have run.
func (g *Gateway) endPanic(call *fasthttp.RequestCtx) {
	cause := recover()
	if cause == nil {
		return
	}
	g.logPanic(string(call.RequestURI()), cause)
	call.Response.Reset()
	call.SetConnectionClose()
	g.writeFailure(call, failure.New(failure.KindInternal, serving.CodePanic, "the daemon failed in this call; the request may have run"))
}

// logPanic logs a programming error with its stack.
func (g *Gateway) logPanic(target string, cause any) {
	g.Logger.Error("request_panicked", "target", target, "cause", cause, "stack", string(debug.Stack()))
}

// handle dispatches requests by path.
func (g *Gateway) handle(call *fasthttp.RequestCtx) {
	defer g.endPanic(call)
	if g.stop.HasBegun() {
		call.SetConnectionClose()
	}
	if err := httphead.CheckTarget(string(call.RequestURI())); err != nil {
		g.refuseTarget(call, err)
		return
	}
	path := string(call.Path())
	switch path {
	case "/healthz":
		writeJSON(call, Health{Healthy: true})
		return
	case "/readyz":
		g.handleReady(call)
		return
	case "/metrics":
		g.metrics(call)
		return
	}
	current, _ := g.Holder.Current()
	call.Response.Header.Set(HeaderRevision, strconv.FormatInt(current.Number, 10))
	if g.isCutOff() {
		call.Response.Header.Set(HeaderCutOff, "true")
	}
	if strings.HasPrefix(path, operatorPrefix) {
		g.handleOperator(call, strings.TrimPrefix(path, operatorPrefix))
		return
	}
	g.handleCaller(call, path)
}

// refuseTarget refuses a target that is not a path with an optional query. A target
// in absolute form cannot be appended to the address of a daemon in another zone.
func (g *Gateway) refuseTarget(call *fasthttp.RequestCtx, err error) {
	g.writeFailure(call, failure.Wrap(err, failure.KindInvalid, string(httphead.KindTarget), "the request target must be a path with an optional query").WithNotRun())
}

// isCutOff reports whether the daemon has not confirmed its revision within cutOffAfter.
func (g *Gateway) isCutOff() bool { return time.Since(g.Holder.ConfirmedAt()) > cutOffAfter }

func (g *Gateway) handleCaller(call *fasthttp.RequestCtx, path string) {
	if !g.ready.Load() {
		g.writeFailure(call, failure.New(failure.KindUnavailable, "not_ready", "the daemon has no configuration yet").WithNotRun().WithRetryAfter(time.Second))
		return
	}
	found, active, err := g.authenticate(call)
	if err != nil {
		g.writeFailure(call, err)
		return
	}
	g.inFlight.Add(1)
	g.active.Add(1)
	finish := sync.OnceFunc(func() {
		g.active.Add(-1)
		g.inFlight.Done()
	})
	caller := &caller{gateway: g, call: call, tenant: found.Name, limit: found.Limit, active: active, path: path, finish: finish}
	isStreaming := false
	defer func() {
		if !isStreaming {
			finish()
		}
	}()
	isStreaming = caller.dispatch()
}

// caller is one authenticated call. finish is called once, when the call has been
// answered.
type caller struct {
	gateway *Gateway
	call    *fasthttp.RequestCtx
	tenant  string
	limit   tenant.Limit
	active  *bundle.Bundle
	path    string
	finish  func()
}

// dispatch handles the call by its path. It returns true if a stream writer will
// call finish.
func (c *caller) dispatch() bool {
	switch {
	case c.path == batch.EndpointCompletions || c.path == batch.EndpointChatCompletions:
		return c.complete()
	case c.path == "/v1/models":
		c.listModels()
	case strings.HasPrefix(c.path, servicesPrefix):
		c.callService(strings.TrimPrefix(c.path, servicesPrefix))
	case strings.HasPrefix(c.path, "/v1/requests/"):
		c.readRequest(strings.TrimPrefix(c.path, "/v1/requests/"))
	case c.path == "/v1/files" || strings.HasPrefix(c.path, "/v1/files/"):
		return c.files(strings.TrimPrefix(strings.TrimPrefix(c.path, "/v1/files"), "/"))
	case c.path == "/v1/batches" || strings.HasPrefix(c.path, "/v1/batches/"):
		c.batches(strings.TrimPrefix(strings.TrimPrefix(c.path, "/v1/batches"), "/"))
	default:
		c.gateway.writeFailure(c.call, failure.New(failure.KindNotFound, "no_path", "there is nothing at %s", c.path).WithNotRun())
	}
	return false
}

const bearerPrefix = "Bearer "

func bearerToken(call *fasthttp.RequestCtx) string {
	header := string(call.Request.Header.Peek("Authorization"))
	if !strings.HasPrefix(header, bearerPrefix) {
		return ""
	}
	return header[len(bearerPrefix):]
}

func (g *Gateway) authenticate(call *fasthttp.RequestCtx) (*tenant.Tenant, *bundle.Bundle, error) {
	_, active := g.Holder.Current()
	if active == nil {
		return nil, nil, failure.New(failure.KindUnavailable, "no_configuration", "no bundle is active yet").WithNotRun().WithRetryAfter(time.Second)
	}
	found, known := active.Directory().Identify(bearerToken(call))
	if !known {
		return nil, nil, failure.New(failure.KindUnauthorized, "bad_key", "unknown API key: send a valid key as a bearer token").WithNotRun()
	}
	return found, active, nil
}
