package gateway

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/failure"
)

// ErrorBody is the response body of every failed call.
type ErrorBody struct {
	Error *failure.Error `json:"error"`
}

// Health is the response body of /healthz.
type Health struct {
	Healthy bool `json:"healthy"`
}

// writeFailure answers with a typed failure and counts malformed input by error code.
// Callers do not choose the codes, so the number of metric series is bounded.
func (g *Gateway) writeFailure(call *fasthttp.RequestCtx, err error) {
	typed := failure.From(err)
	if typed.Kind == failure.KindInvalid || typed.Kind == failure.KindTooLarge {
		g.Metrics.Malformed.WithLabelValues(typed.Code).Inc()
	}
	call.Response.ResetBody()
	writeJSON(call, ErrorBody{Error: typed})
	call.SetStatusCode(typed.Status())
	if typed.RetryAfter > 0 {
		seconds := int(math.Ceil(typed.RetryAfter.Seconds()))
		call.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
}

func writeJSON(call *fasthttp.RequestCtx, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		call.Error("{}", fasthttp.StatusInternalServerError)
		return
	}
	call.SetContentType("application/json")
	call.SetBody(encoded)
}

// decodeBody parses the JSON request body.
func decodeBody(call *fasthttp.RequestCtx, target any) error {
	if err := json.Unmarshal(call.PostBody(), target); err != nil {
		return failure.Wrap(err, failure.KindInvalid, "bad_json", "the body is not valid JSON with fields of the expected types").WithNotRun()
	}
	return nil
}
