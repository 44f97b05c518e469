package engine

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// do sends a request, which it releases, and returns the answer, which the caller
// releases. It waits no longer than the context lasts: a call of the HTTP client ends
// by timers of the steady clock alone, which stand still while the machine sleeps, and
// held a request of 40 s for 40 s after its machine had slept for a minute.
func (c *Client) do(ctx context.Context, request *fasthttp.Request) (*fasthttp.Response, error) {
	response := fasthttp.AcquireResponse()
	answered := make(chan error, 1)
	go func() {
		answered <- c.http.DoDeadline(request, response, streamDeadline(ctx))
		fasthttp.ReleaseRequest(request)
	}()
	select {
	case err := <-answered:
		if err != nil {
			fasthttp.ReleaseResponse(response)
			return nil, sendFailure(err)
		}
		return response, nil
	case <-ctx.Done():
		go discardLate(answered, response)
		return nil, &AttemptError{Outcome: OutcomeUnknown, Code: CodeAbandoned, cause: ctx.Err()}
	}
}

// discardLate reads an answer that nobody waits for to its end, so that the
// connection is clean before it is reused.
func discardLate(answered <-chan error, response *fasthttp.Response) {
	defer fasthttp.ReleaseResponse(response)
	if err := <-answered; err != nil {
		return // the attempt was given up already
	}
	_, _ = readBody(response) // a connection that breaks is closed by the client
}

// cancelAbandoned has the engine stop an attempt whose caller did not wait for the
// head of its answer, unless it is the only one that there may be.
func (c *Client) cancelAbandoned(address string, request GenerateRequest, err error) {
	if CodeOf(err) == CodeAbandoned && !request.IsOnce {
		go c.Cancel(address, request.AttemptID)
	}
}

func streamDeadline(ctx context.Context) time.Time {
	if deadline, set := ctx.Deadline(); set {
		return deadline
	}
	return time.Now().Add(maxStreamSeconds * time.Second)
}
