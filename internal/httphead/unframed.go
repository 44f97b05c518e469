package httphead

import "github.com/valyala/fasthttp"

// UntilClose is fasthttp's ContentLength of a body that has neither a length nor chunks and so ends
// with its connection.
const UntilClose = -2

// UnframedError reports an answer that ends with its connection.
type UnframedError struct{}

// Error implements error.
func (*UnframedError) Error() string {
	return "the answer states neither a length nor chunks: a whole one looks like one that was cut off"
}

// CheckFraming returns an *UnframedError if the body of an answer ends with its connection. It is
// for peers that frame all their answers.
func CheckFraming(header *fasthttp.ResponseHeader) error {
	if !IsBodyless(header.StatusCode()) && header.ContentLength() == UntilClose {
		return &UnframedError{}
	}
	return nil
}
