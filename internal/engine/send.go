package engine

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/httphead"
)

// do sends a request, which it releases, and returns the answer, which the caller
// releases. It returns when ctx ends. The HTTP client's own deadline is not enough: its
// timers use the monotonic clock, which does not advance while the machine is suspended.
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
		go discardAnswer(answered, response)
		return nil, &AttemptError{Outcome: OutcomeUnknown, Code: CodeAbandoned, cause: ctx.Err()}
	}
}

// discardAnswer reads the rest of an abandoned request's answer, so that the
// connection can be reused.
func discardAnswer(answered <-chan error, response *fasthttp.Response) {
	defer fasthttp.ReleaseResponse(response)
	if err := <-answered; err != nil {
		return // the attempt has already failed
	}
	_, _ = httphead.ResponseBody(response, httphead.AnswerBytes) // after an error the HTTP client closes the connection
}

// cancelAbandoned cancels an attempt in the background if its caller stopped waiting
// before the answer's header arrived. Attempts with IsOnce continue.
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
