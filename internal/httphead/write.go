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
	// headBytes is room for the head of an ordinary message.
	headBytes = 1 << 10
	// leastFinal and mostFinal bound the statuses of final answers.
	leastFinal, mostFinal = 200, 599
)

// Writer writes one message. Its head holds only what was checked; the first fault
// is kept, and a message with a fault is never given out.
type Writer struct {
	message []byte
	err     error
	// isBodyless tells that the message ends with its head whatever its fields say
	// (RFC 9112 section 6.3).
	isBodyless bool
	isRequest  bool
}

// NewRequest begins a request; size is that of its body.
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

// NewAnswer begins a final answer. isToHead tells that it answers a HEAD request,
// so that it has no body.
func NewAnswer(status int, isToHead bool) *Writer {
	w := &Writer{message: make([]byte, 0, headBytes)}
	if status < leastFinal || status > mostFinal {
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

// Field adds a field. Those that tell where the message ends, and for which host it
// is, are written by the Writer alone.
func (w *Writer) Field(name, value string) {
	w.note(CheckField(name, value))
	if strings.EqualFold(name, fieldLength) || strings.EqualFold(name, fieldEncoding) || w.isRequest && strings.EqualFold(name, fieldHost) {
		w.note(fault(KindFraming, name))
	}
	w.line(name, ": ", value)
}

// Whole ends the message with its body. An answer that can have no body is given
// out without.
func (w *Writer) Whole(body []byte) ([]byte, error) {
	head, hasBody, err := w.Length(len(body))
	if err != nil || !hasBody {
		return head, err
	}
	return append(head, body...), nil
}

// Length ends the head of a message whose body of a known length follows, and
// reports whether it has a body at all.
func (w *Writer) Length(length int) (head []byte, hasBody bool, err error) {
	if !w.isBodyless {
		w.line(fieldLength, ": ", strconv.Itoa(length))
	}
	return w.end()
}

// Chunked ends the head of a message whose body follows in chunks, and reports
// whether it has a body at all.
func (w *Writer) Chunked() (head []byte, hasBody bool, err error) {
	if !w.isBodyless {
		w.line(fieldEncoding, ": chunked")
	}
	return w.end()
}

// UntilClose ends the head of a message whose body ends with the connection, for readers
// that know no chunks, and reports whether it has a body at all.
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
