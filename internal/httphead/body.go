package httphead

import (
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// AnswerBytes is the most that is held of an answer's body: as much as a daemon takes
// of a request at most by default.
const AnswerBytes = 64 << 20

// LongBodyError tells that a body is longer than what is held of one.
type LongBodyError struct {
	// Limit is the longest body that is held, in bytes.
	Limit int
}

// Error implements error.
func (e *LongBodyError) Error() string {
	return "the body is longer than " + strconv.Itoa(e.Limit) + " bytes"
}

// ReadBody reads a body to its end. One that is longer than the limit is a
// *LongBodyError: its beginning must not be taken for the whole.
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
