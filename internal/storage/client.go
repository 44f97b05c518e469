package storage

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"topazpulley/internal/failure"
	"topazpulley/internal/periodic"
)

const (
	retryBase           = 50 * time.Millisecond
	retryCeiling        = 2 * time.Second
	attemptTimeout      = 3 * time.Second
	breakerThreshold    = 5
	breakerOpenInterval = time.Second
	limiterBurstSeconds = 2
)

// Client makes all of a daemon's calls to the platform. Calls share one rate
// limiter and one circuit breaker and are retried with jittered backoff until
// the context ends. If the answer to a transaction was lost, Client recognises by
// the operation id whether it was committed.
type Client struct {
	services Services
	limiter  *rate.Limiter
	breaker  breaker
	counters Counters
}

// Counters counts calls, for metrics.
type Counters struct {
	mutex    sync.Mutex
	calls    uint64
	failures uint64
}

// NewClient returns a client of services that makes operationsPerSecond calls per
// second on average at most, with bursts of limiterBurstSeconds times as many.
func NewClient(services Services, operationsPerSecond float64) *Client {
	burst := int(operationsPerSecond*limiterBurstSeconds) + 1
	return &Client{services: services, limiter: rate.NewLimiter(rate.Limit(operationsPerSecond), burst)}
}

// Calls returns how many calls were made and how many of them failed.
func (c *Client) Calls() (calls, failures uint64) {
	c.counters.mutex.Lock()
	defer c.counters.mutex.Unlock()
	return c.counters.calls, c.counters.failures
}

func (c *Client) count(failed bool) {
	c.counters.mutex.Lock()
	defer c.counters.mutex.Unlock()
	c.counters.calls++
	if failed {
		c.counters.failures++
	}
}

// Available reports whether the circuit breaker is closed. Callers that must not
// wait check it first.
func (c *Client) Available() bool { return c.breaker.isClosed() }

// retry calls operation until it succeeds, fails other than with KindUnavailable,
// or ctx ends.
func (c *Client) retry(ctx context.Context, operation func(context.Context) error) error {
	backoff := retryBase
	for {
		err := c.once(ctx, operation)
		if !failure.Is(err, failure.KindUnavailable) {
			return err
		}
		pause := time.Duration(rand.Int64N(int64(backoff)) + int64(backoff)/2)
		if !periodic.Sleep(ctx, pause) {
			return err
		}
		backoff = min(backoff*2, retryCeiling)
	}
}

// once calls operation once, for at most attemptTimeout.
func (c *Client) once(ctx context.Context, operation func(context.Context) error) error {
	if !c.breaker.allow(time.Now()) {
		return failure.New(failure.KindUnavailable, "platform_circuit_open", "the platform failed repeatedly; calls are paused")
	}
	if err := c.limiter.Wait(ctx); err != nil {
		c.breaker.cancelProbe()
		return failure.Wrap(err, failure.KindUnavailable, "platform_rate_limited", "the daemon's rate limit for platform calls is exceeded")
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := operation(attempt)
	failed := failure.Is(err, failure.KindUnavailable)
	c.breaker.record(time.Now(), failed)
	c.count(failed)
	return err
}

// Transact commits the transaction once. A retry whose condition fails because
// an earlier try was committed is a success.
func (c *Client) Transact(ctx context.Context, transaction Transaction) (Version, error) {
	var committed Version
	tries := 0
	err := c.retry(ctx, func(attempt context.Context) error {
		tries++
		version, err := c.services.Transact(attempt, transaction)
		var conflict *ConflictError
		if tries > 1 && errors.As(err, &conflict) && conflict.wroteAll(transaction) {
			version, err = conflict.Rows[0].Version, nil
		}
		committed = version
		return err
	})
	return committed, err
}

// Get reads one row.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.retry(ctx, func(attempt context.Context) (err error) {
		row, err = c.services.Get(attempt, key)
		return err
	})
	return row, err
}

// Scan reads rows in key order.
func (c *Client) Scan(ctx context.Context, request ScanRequest) ([]Row, error) {
	var rows []Row
	err := c.retry(ctx, func(attempt context.Context) (err error) {
		rows, err = c.services.Scan(attempt, request)
		return err
	})
	return rows, err
}

// scanPageSize is the number of rows that ScanAll reads per call.
const scanPageSize = 500

// ScanAll reads every row under the prefix, page by page.
func (c *Client) ScanAll(ctx context.Context, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		page, err := c.Scan(ctx, ScanRequest{Prefix: prefix, After: after, Limit: scanPageSize})
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < scanPageSize {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

// Put stores an object.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	return c.retry(ctx, func(attempt context.Context) error { return c.services.Put(attempt, name, content) })
}

// GetObject reads a complete object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var content []byte
	err := c.retry(ctx, func(attempt context.Context) (err error) {
		content, err = c.services.GetObject(attempt, name)
		return err
	})
	return content, err
}

// GetRange reads length bytes of an object from offset.
func (c *Client) GetRange(ctx context.Context, name string, offset, length int64) ([]byte, error) {
	var content []byte
	err := c.retry(ctx, func(attempt context.Context) (err error) {
		content, err = c.services.GetRange(attempt, name, offset, length)
		return err
	})
	return content, err
}

// List reads the machine list, without retries.
func (c *Client) List(ctx context.Context) ([]Machine, error) {
	var machines []Machine
	err := c.once(ctx, func(attempt context.Context) (err error) {
		machines, err = c.services.List(attempt)
		return err
	})
	return machines, err
}

// breaker is a circuit breaker. It rejects calls after breakerThreshold consecutive
// failures and then allows one probe per breakerOpenInterval.
type breaker struct {
	mutex     sync.Mutex
	failures  int
	openUntil time.Time
	probing   bool
}

func (b *breaker) isClosed() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.failures < breakerThreshold
}

func (b *breaker) allow(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.failures < breakerThreshold {
		return true
	}
	if now.Before(b.openUntil) || b.probing {
		return false
	}
	b.probing = true
	return true
}

// cancelProbe releases a probe that made no call.
func (b *breaker) cancelProbe() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.probing = false
}

func (b *breaker) record(now time.Time, failed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.probing = false
	if !failed {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures >= breakerThreshold {
		b.openUntil = now.Add(breakerOpenInterval)
	}
}
