package httphead

import (
	"bufio"
	"bytes"
	"net"
	"regexp"

	"github.com/valyala/fasthttp"
)

// maxJoinedBytes is the size up to which the head of an answer is checked. It is more than the
// readers of answers take.
const maxJoinedBytes = 64 << 10

// statusLine matches the beginning of the first line of an answer (RFC 9112 section 4).
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] +[0-9]{3}`)

// HoldsStatusLine reports whether an answer begins within a text.
func HoldsStatusLine(text []byte) bool {
	return bytes.Contains(text, []byte("HTTP/")) && statusLine.Match(text)
}

// CheckAnswer waits for the complete head of an answer, without consuming it, and returns a *Fault of
// KindStatus if its status is none of an answer, or of KindJoined if a second status line is within it:
// the head was cut off, and that of another answer followed on the same connection. Parsers take the two
// for one head, with the fields of both. All other faults, and the reader's errors, are left to the
// parser.
func CheckAnswer(reader *bufio.Reader) error {
	for wanted := 1; ; wanted = reader.Buffered() + 1 {
		if _, err := reader.Peek(wanted); err != nil {
			return nil
		}
		received, _ := reader.Peek(reader.Buffered())
		length, err := checkedHead(received)
		if err != nil || length > 0 {
			return err
		}
	}
}

// checkedHead returns the length of the head of an answer, and 0 as long as it is incomplete. A head
// that parsers refuse ends with the line that they refuse.
func checkedHead(received []byte) (length int, err error) {
	isFirst := true
	for line := range bytes.Lines(received) {
		if !bytes.HasSuffix(line, []byte("\n")) {
			return 0, nil
		}
		length += len(line)
		content := bytes.TrimRight(line, lineEnd)
		isEmpty := len(content) == 0
		if isEmpty && isFirst {
			continue
		}
		if isEmpty || isFirst && !isStatusLine(content) {
			return length, nil
		}
		if isFirst {
			content = content[len(version):]
		}
		if HoldsStatusLine(content) {
			return length, fault(KindJoined, string(content))
		}
		if isFirst && !answerLine.Match(line) {
			return length, fault(KindStatus, string(line))
		}
		if !isFirst && !isFieldLine(content) {
			return length, nil
		}
		isFirst = false
	}
	return 0, nil
}

// answerLine matches the first line of an answer whose status is one of RFC 9110 section 15 but 101, which
// answers a call for another protocol only. Parsers take any three digits, and fasthttp takes 000 for 200.
var answerLine = regexp.MustCompile(`^HTTP/[0-9]\.[0-9] (10[02-9]|1[1-9][0-9]|[2-5][0-9]{2})[ \r\n]`)

// isStatusLine reports whether a line begins like the first one of an answer. Others are refused by
// parsers.
func isStatusLine(line []byte) bool {
	found := statusLine.FindIndex(line)
	return found != nil && found[0] == 0
}

// isFieldLine reports whether a line can be a field or the continuation of one.
func isFieldLine(line []byte) bool {
	return bytes.IndexAny(line[:1], blanks) == 0 || bytes.IndexByte(line, ':') > 0
}

// CheckedDial returns a dial function whose connections fail to read at the head of an answer that
// CheckAnswer refuses. It is for clients that send one request after the other, without TLS.
func CheckedDial(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		connection, err := dial(address)
		if err != nil {
			return nil, err // unwrapped: callers check its type
		}
		return &checkedConn{Conn: connection}, nil
	}
}

// checkedConn checks the heads of the answers to each request.
type checkedConn struct {
	net.Conn
	// head is what was received of the head that is being checked.
	head      []byte
	isChecked bool
}

// NetConn returns the connection without the check.
func (c *checkedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *checkedConn) Write(content []byte) (int, error) {
	c.head, c.isChecked = nil, false
	return c.Conn.Write(content)
}

// Read implements net.Conn.
func (c *checkedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if c.isChecked {
		return count, err
	}
	if err := c.check(buffer[:count]); err != nil {
		return 0, err
	}
	return count, err
}

// check checks the heads up to that of the final answer.
func (c *checkedConn) check(received []byte) error {
	c.head = append(c.head, received...)
	for {
		length, err := checkedHead(c.head)
		isIncomplete := length == 0 && len(c.head) <= maxJoinedBytes
		if err != nil || isIncomplete {
			return err
		}
		if !interim.Match(c.head[:length]) {
			c.head, c.isChecked = nil, true
			return nil
		}
		c.head = c.head[length:]
	}
}

// interim matches the beginning of an answer that another one follows.
var interim = regexp.MustCompile(`^[\r\n]*HTTP/[0-9]\.[0-9] 1`)
