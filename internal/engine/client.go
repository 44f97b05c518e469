package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/httphead"
	"topazpulley/internal/quarantine"
)

// Outcome is what is known about an attempt that did not complete.
type Outcome int

// The outcomes of a failed attempt.
const (
	// OutcomeNotRun means that the engine did not start the work: no byte was
	// sent or the engine refused it. The work may be sent to any engine.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown means that the work was sent and its result is not known.
	OutcomeUnknown
	// OutcomeInvalid means that the request is invalid: it did not run and
	// every other engine would reject it too.
	OutcomeInvalid
)

// String returns the name used in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not_run"
	case OutcomeInvalid:
		return "invalid"
	}
	return "unknown"
}

// AttemptError is the failure of one attempt on one engine.
type AttemptError struct {
	Outcome Outcome
	// Code is the engine's refusal code or one of the Code constants.
	Code  string
	cause error
}

// Codes of attempts that failed without a refusal.
const (
	CodeConnect    = "connect_failed"
	CodeBroken     = "stream_broken"
	CodeStalled    = "stream_stalled"
	CodeWrongID    = "wrong_attempt_id"
	CodeIncomplete = "incomplete_answer"
	// CodeTooLong means that an answer has more tokens than were asked for.
	CodeTooLong = "answer_too_long"
	// CodeAbandoned means that the caller's context ended first.
	CodeAbandoned = "abandoned"
	// CodeForgotten means that the engine does not have the attempt to resume.
	CodeForgotten = "attempt_forgotten"
	// CodeQuarantined means that the request has crashed engines and is not sent
	// again.
	CodeQuarantined = "quarantined"
)

// Error implements error.
func (e *AttemptError) Error() string {
	if e.cause == nil {
		return "engine attempt: " + e.Code
	}
	return "engine attempt: " + e.Code + ": " + e.cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *AttemptError) Unwrap() error { return e.cause }

// OutcomeOf returns the outcome of an AttemptError, and OutcomeUnknown for any
// other error.
func OutcomeOf(err error) Outcome {
	var attempt *AttemptError
	if errors.As(err, &attempt) {
		return attempt.Outcome
	}
	return OutcomeUnknown
}

// CodeOf returns the code of an AttemptError, or "".
func CodeOf(err error) string {
	var attempt *AttemptError
	if errors.As(err, &attempt) {
		return attempt.Code
	}
	return ""
}

// dialError is a failure to connect: no byte was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

const (
	dialTimeout       = 500 * time.Millisecond
	controlTimeout    = 2 * time.Second
	maxStreamSeconds  = 900
	maxConnsPerEngine = 1024
	eventQueueLength  = 64
	maxEventLineBytes = 1 << 20
	dataPrefix        = "data: "
)

// Client calls engines over HTTP.
type Client struct {
	http *fasthttp.Client
	// StallTimeout is the longest time between two events of a stream.
	StallTimeout time.Duration
	// Quarantine decides which requests are not sent to engines; if nil, all are sent.
	Quarantine *quarantine.Guard
}

// NewClient returns a client whose streams fail after stallTimeout without an
// event.
func NewClient(stallTimeout time.Duration) *Client {
	return &Client{
		StallTimeout: stallTimeout,
		http: &fasthttp.Client{
			MaxConnsPerHost:           maxConnsPerEngine,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
			StreamResponseBody:        true,
			Dial: httphead.CheckedDial(func(address string) (net.Conn, error) {
				connection, err := net.DialTimeout("tcp", address, dialTimeout)
				if err != nil {
					return nil, &dialError{cause: err}
				}
				return connection, nil
			}),
		},
	}
}

func sendFailure(err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &AttemptError{Outcome: OutcomeNotRun, Code: CodeConnect, cause: err}
	}
	return &AttemptError{Outcome: OutcomeUnknown, Code: CodeBroken, cause: err}
}

// Stream is a running generation. It is used by one goroutine.
type Stream struct {
	client    *Client
	address   string
	attemptID string
	next      int
	// maxTokens is the most tokens of a complete answer; 0 means no limit.
	maxTokens int
	events    chan Event
	readError error
	finished  bool
	// run identifies the request for the quarantine; zero for a resumed attempt.
	run quarantine.Run
	// tokens is the number of tokens received.
	tokens int
}

// Generate sends the request and returns its stream.
func (c *Client) Generate(ctx context.Context, address string, request GenerateRequest) (*Stream, error) {
	run := quarantine.Run{Fingerprint: request.Fingerprint, Parts: messageParts(request.Model, request.Input), IsItem: request.IsItem}
	if err := c.checkQuarantine(run); err != nil {
		return nil, err
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &AttemptError{Outcome: OutcomeInvalid, Code: RefusalBadRequest, cause: err}
	}
	stream, err := c.open(ctx, address, request.AttemptID, len(request.Continue), fasthttp.MethodPost, PathGenerate, body)
	if err != nil {
		c.recordCrash(ctx, address, run, err)
		c.cancelAbandoned(address, request, err)
		return nil, err
	}
	stream.run, stream.maxTokens = run, request.MaxTokens
	return stream, nil
}

// Resume reads the events of an attempt that the engine keeps, starting at the
// token index from. maxTokens is the most tokens of the complete answer.
func (c *Client) Resume(ctx context.Context, address, attemptID string, from, maxTokens int) (*Stream, error) {
	path := PathAttempts + attemptID + "?from=" + strconv.Itoa(from)
	stream, err := c.open(ctx, address, attemptID, from, fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	stream.maxTokens = maxTokens
	return stream, nil
}

func (c *Client) open(ctx context.Context, address, attemptID string, from int, method, path string, body []byte) (*Stream, error) {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBodyRaw(body)
	response, err := c.do(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		defer fasthttp.ReleaseResponse(response)
		return nil, refusalFailure(response)
	}
	stream := &Stream{client: c, address: address, attemptID: attemptID, next: from, events: make(chan Event, eventQueueLength)}
	go stream.read(response)
	return stream, nil
}

func refusalFailure(response *fasthttp.Response) error {
	content, _ := io.ReadAll(io.LimitReader(response.BodyStream(), maxEventLineBytes))
	refusal := Refusal{}
	if json.Unmarshal(content, &refusal) != nil || refusal.Code == "" {
		if response.StatusCode() == fasthttp.StatusNotFound {
			return &AttemptError{Outcome: OutcomeUnknown, Code: CodeForgotten}
		}
		return &AttemptError{Outcome: OutcomeUnknown, Code: CodeBroken}
	}
	switch refusal.Code {
	case RefusalAttemptExists:
		return &AttemptError{Outcome: OutcomeUnknown, Code: refusal.Code}
	case RefusalBadRequest:
		return &AttemptError{Outcome: OutcomeInvalid, Code: refusal.Code}
	case RefusalDraining, RefusalLoading, RefusalFull, RefusalNoModel, RefusalStaleFence:
		return &AttemptError{Outcome: OutcomeNotRun, Code: refusal.Code}
	}
	// With an unknown code the engine may have started the work.
	return &AttemptError{Outcome: OutcomeUnknown, Code: refusal.Code}
}

// read moves events from the response to the channel and closes it at the end.
func (s *Stream) read(response *fasthttp.Response) {
	defer fasthttp.ReleaseResponse(response)
	defer close(s.events)
	s.readError = DecodeEvents(response.BodyStream(), func(event Event) { s.events <- event })
}

// DecodeEvents reads server-sent events and passes each to deliver. It returns
// nil at the end of the input.
func DecodeEvents(input io.Reader, deliver func(Event)) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, 4096), maxEventLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if len(line) < len(dataPrefix) || string(line[:len(dataPrefix)]) != dataPrefix {
			continue
		}
		event := Event{}
		if err := json.Unmarshal(line[len(dataPrefix):], &event); err != nil {
			return errors.WithStack(err)
		}
		deliver(event)
	}
	return errors.WithStack(scanner.Err())
}

// Next returns the next event. The last event has End set. An answer without it,
// with another attempt's id, with a missing token or with too many is an error.
func (s *Stream) Next(ctx context.Context) (Event, error) {
	stall := time.NewTimer(s.client.StallTimeout)
	defer stall.Stop()
	select {
	case event, open := <-s.events:
		if !open {
			s.finished = true
			err := &AttemptError{Outcome: OutcomeUnknown, Code: CodeIncomplete, cause: s.readError}
			s.client.recordCrash(ctx, s.address, s.run, err)
			return Event{}, err
		}
		return s.check(event)
	case <-stall.C:
		return Event{}, &AttemptError{Outcome: OutcomeUnknown, Code: CodeStalled}
	case <-ctx.Done():
		return Event{}, &AttemptError{Outcome: OutcomeUnknown, Code: CodeAbandoned, cause: ctx.Err()}
	}
}

func (s *Stream) check(event Event) (Event, error) {
	if event.AttemptID != s.attemptID {
		return Event{}, &AttemptError{Outcome: OutcomeUnknown, Code: CodeWrongID}
	}
	if event.End {
		s.finished = true
		if event.Count != s.next {
			return Event{}, &AttemptError{Outcome: OutcomeUnknown, Code: CodeIncomplete}
		}
		s.client.recordSuccess(s.run.Fingerprint, event)
		if event.FinishReason != FinishCancelled {
			s.recordSound()
		}
		return event, nil
	}
	if event.Index != s.next {
		return Event{}, &AttemptError{Outcome: OutcomeUnknown, Code: CodeIncomplete}
	}
	if s.maxTokens > 0 && s.next >= s.maxTokens {
		return Event{}, &AttemptError{Outcome: OutcomeUnknown, Code: CodeTooLong}
	}
	s.next++
	s.tokens++
	s.run.HadOutput = true
	if s.tokens == quarantine.SoundOutputs {
		s.recordSound()
	}
	return event, nil
}

// recordSound records, once, that the parts of the prompt do not crash the engine.
func (s *Stream) recordSound() {
	s.client.recordSound(s.run.Parts)
	s.run.Parts = nil
}

// Close ends the stream. An unfinished generation is cancelled on the engine
// in the background.
func (s *Stream) Close() {
	if !s.finished {
		go s.client.Cancel(s.address, s.attemptID)
	}
	go drain(s.events)
}

// Detach ends the stream but not the attempt, which may be resumed.
func (s *Stream) Detach() { go drain(s.events) }

// drain reads the remaining events, so that the connection can be reused.
func drain(events <-chan Event) {
	for range events {
		continue
	}
}

// Load returns the engine's load report.
func (c *Client) Load(address string, timeout time.Duration) (LoadReport, error) {
	report := LoadReport{}
	_, body, err := c.control(address, fasthttp.MethodGet, PathLoad, nil, time.Now().Add(timeout))
	if err != nil {
		return report, sendFailure(err)
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, sendFailure(err)
	}
	return report, nil
}

// Order sends an order. If its fence is stale, the error is an AttemptError
// with code RefusalStaleFence.
func (c *Client) Order(address string, order Order) error {
	encoded, err := json.Marshal(order)
	if err != nil {
		return errors.WithStack(err)
	}
	status, body, err := c.control(address, fasthttp.MethodPost, PathOrders, encoded, time.Now().Add(controlTimeout))
	if err != nil {
		return sendFailure(err)
	}
	if status == fasthttp.StatusOK {
		return nil
	}
	refusal := Refusal{}
	_ = json.Unmarshal(body, &refusal)
	return &AttemptError{Outcome: OutcomeNotRun, Code: refusal.Code}
}

func (c *Client) control(address, method, path string, body []byte, deadline time.Time) (int, []byte, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBodyRaw(body)
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return 0, nil, errors.WithStack(err)
	}
	content, err := httphead.ResponseBody(response, httphead.AnswerBytes)
	return response.StatusCode(), content, err
}

// CallRequest is one request to a plain service.
type CallRequest struct {
	AttemptID string
	Method    string
	Path      string
	Body      []byte
	// Fingerprint identifies the call's content; it is the same for each attempt.
	Fingerprint quarantine.Fingerprint
}

// check returns an error if the method or path cannot be sent unchanged in a
// header. The error is a *httphead.Fault.
func (c *CallRequest) check() error {
	if err := httphead.CheckMethod(c.Method); err != nil {
		return err
	}
	return httphead.CheckTarget(c.Path)
}

// CallAnswer is the answer of a plain service.
type CallAnswer struct {
	ContentType string
	Body        []byte
}

// Call sends a request to a plain service. An answer with another attempt id is
// an error.
func (c *Client) Call(ctx context.Context, address string, call CallRequest) (CallAnswer, error) {
	run := quarantine.Run{Fingerprint: call.Fingerprint}
	if err := c.checkQuarantine(run); err != nil {
		return CallAnswer{}, err
	}
	answer, err := c.callOnce(ctx, address, call)
	if err != nil {
		c.recordCrash(ctx, address, run, err)
		return answer, err
	}
	c.recordSuccess(call.Fingerprint, Event{})
	return answer, nil
}

func (c *Client) callOnce(ctx context.Context, address string, call CallRequest) (CallAnswer, error) {
	if err := call.check(); err != nil {
		return CallAnswer{}, &AttemptError{Outcome: OutcomeInvalid, Code: RefusalBadRequest, cause: err}
	}
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + PathCall)
	request.Header.Set(HeaderAttempt, call.AttemptID)
	request.Header.Set(HeaderPath, call.Path)
	request.Header.Set(HeaderMethod, call.Method)
	request.SetBodyRaw(call.Body)
	response, err := c.do(ctx, request)
	if err != nil {
		return CallAnswer{}, err
	}
	defer fasthttp.ReleaseResponse(response)
	if response.StatusCode() != fasthttp.StatusOK {
		return CallAnswer{}, refusalFailure(response)
	}
	if err := httphead.CheckFraming(&response.Header); err != nil {
		return CallAnswer{}, &AttemptError{Outcome: OutcomeUnknown, Code: CodeIncomplete, cause: err}
	}
	content, err := httphead.ResponseBody(response, httphead.AnswerBytes)
	if err != nil {
		return CallAnswer{}, sendFailure(err)
	}
	if string(response.Header.Peek(HeaderAttempt)) != call.AttemptID {
		return CallAnswer{}, &AttemptError{Outcome: OutcomeUnknown, Code: CodeWrongID}
	}
	return CallAnswer{ContentType: string(response.Header.ContentType()), Body: content}, nil
}
