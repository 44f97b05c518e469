package httphead

import (
	"net/http"
	"strconv"
	"strings"
)

const (
	fieldHost     = "Host"
	fieldLength   = "Content-Length"
	fieldEncoding = "Transfer-Encoding"
	// headBytes is the initial capacity for the head of a message.
	headBytes = 1 << 10
	// minFinal and maxFinal bound the statuses of final answers.
	minFinal, maxFinal = 200, 599
)

// Writer builds one message and checks each part of its head. It keeps the first fault and then
// returns that instead of the message.
type Writer struct {
	message []byte
	err     error
	// isBodyless is set if the message ends with its head whatever its fields are (RFC 9112
	// section 6.3).
	isBodyless bool
	isRequest  bool
}

// NewRequest begins a request; size is the expected size of its body in bytes.
func NewRequest(method, target, host string, size int) *Writer {
	w := &Writer{message: make([]byte, 0, headBytes+size), isRequest: true}
	w.note(CheckMethod(method))
	w.note(CheckTarget(target))
	w.note(checkNoTunnel(method))
	w.note(CheckHost(host))
	w.line(method, " ", target, " ", version)
	w.line(fieldHost, ": ", host)
	return w
}

// NewAnswer begins a final answer. isToHead is set if it answers a HEAD request and so has no
// body.
func NewAnswer(status int, isToHead bool) *Writer {
	w := &Writer{message: make([]byte, 0, headBytes)}
	if status < minFinal || status > maxFinal {
		w.note(fault(KindStatus, strconv.Itoa(status)))
	}
	w.isBodyless = isToHead || IsBodyless(status)
	w.line(version, " ", strconv.Itoa(status), " ", http.StatusText(status))
	return w
}

// IsBodyless reports whether answers of a status end with their head (RFC 9112
// section 6.3).
func IsBodyless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// Field adds a field. Content-Length, Transfer-Encoding and the Host of a request are faults,
// because the Writer sets them.
func (w *Writer) Field(name, value string) {
	w.note(CheckField(name, value))
	if strings.EqualFold(name, fieldLength) || strings.EqualFold(name, fieldEncoding) || w.isRequest && strings.EqualFold(name, fieldHost) {
		w.note(fault(KindFraming, name))
	}
	w.line(name, ": ", value)
}

// Whole ends the message with its body and returns it. The body is left out of an answer that
// can't have one.
func (w *Writer) Whole(body []byte) ([]byte, error) {
	head, hasBody, err := w.Length(len(body))
	if err != nil || !hasBody {
		return head, err
	}
	return append(head, body...), nil
}

// Length ends the head of a message with a body of known length, which the caller sends, and
// reports whether the message can have a body.
func (w *Writer) Length(length int) (head []byte, hasBody bool, err error) {
	if !w.isBodyless {
		w.line(fieldLength, ": ", strconv.Itoa(length))
	}
	return w.end()
}

// Chunked ends the head of a message with a chunked body, which the caller sends, and reports
// whether the message can have a body.
func (w *Writer) Chunked() (head []byte, hasBody bool, err error) {
	if !w.isBodyless {
		w.line(fieldEncoding, ": chunked")
	}
	return w.end()
}

// UntilClose ends the head of a message whose body ends with the connection, for readers without
// support for chunks, and reports whether the message can have a body.
func (w *Writer) UntilClose() (head []byte, hasBody bool, err error) { return w.end() }

func (w *Writer) end() (head []byte, hasBody bool, err error) {
	if w.err != nil {
		return nil, false, w.err
	}
	w.line()
	return w.message, !w.isBodyless, nil
}

// note keeps the first fault.
func (w *Writer) note(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *Writer) line(words ...string) {
	for _, word := range words {
		w.message = append(w.message, word...)
	}
	w.message = append(w.message, lineEnd...)
}
