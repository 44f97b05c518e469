package httphead

import "github.com/valyala/fasthttp"

// untilClose is fasthttp's ContentLength of a body without a length or chunks.
const untilClose = -2

// UnframedError reports an answer that ends with its connection.
type UnframedError struct{}

// Error implements error.
func (*UnframedError) Error() string {
	return "the answer states neither a length nor chunks: a whole one looks like one that was cut off"
}

// CheckFraming returns an *UnframedError if the body of an answer ends with its connection. It is
// for peers that frame all their answers.
func CheckFraming(header *fasthttp.ResponseHeader) error {
	if !IsBodyless(header.StatusCode()) && header.ContentLength() == untilClose {
		return &UnframedError{}
	}
	return nil
}
