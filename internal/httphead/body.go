package httphead

import (
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// AnswerBytes is the maximum size of a buffered answer body. It equals the default maximum size
// of a request.
const AnswerBytes = 64 << 20

// LongBodyError reports that a body exceeds the limit.
type LongBodyError struct {
	// Limit is the maximum size of the body in bytes.
	Limit int
}

// Error implements error.
func (e *LongBodyError) Error() string {
	return "the body is longer than " + strconv.Itoa(e.Limit) + " bytes"
}

// ResponseBody is ReadBody for an answer of a client that may stream bodies. Nothing is read of a body
// whose head tells that it is longer.
func ResponseBody(response *fasthttp.Response, limit int) ([]byte, error) {
	if response.Header.ContentLength() > limit {
		return nil, &LongBodyError{Limit: limit}
	}
	if stream := response.BodyStream(); stream != nil {
		return ReadBody(stream, limit)
	}
	return append([]byte(nil), response.Body()...), nil
}

// ReadBody reads a body to its end. It returns a *LongBodyError, and no truncated body, if the
// body is longer than limit bytes.
func ReadBody(source io.Reader, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, int64(limit)+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(body) > limit {
		return nil, &LongBodyError{Limit: limit}
	}
	return body, nil
}
