package httphead

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/pkg/errors"
)

const (
	lineEnd = "\r\n"
	version = "HTTP/1.1"
	// oldVersion is the only other version accepted in requests.
	oldVersion = "HTTP/1.0"
)

// PeekRequest waits for the complete head of a request, checks it and returns its bytes without
// consuming them from the reader. The error is a *Fault, with the bytes received so far, or the
// reader's error. It is bufio.ErrBufferFull if the head is larger than the reader's buffer. Empty
// lines before the request line are skipped (RFC 9112 section 2.2).
func PeekRequest(reader *bufio.Reader) ([]byte, error) {
	head, start, err := peekLines(reader)
	if err != nil {
		return head, err
	}
	return head, checkRequest(string(head[start:]))
}

// peekLines waits for the empty line after the request line and the fields, and returns the
// offset of the request line. It checks line ends as they arrive, because a head with other line
// ends may have no such empty line.
func peekLines(reader *bufio.Reader) (head []byte, start int, err error) {
	checked := 0
	for wanted := 1; ; wanted = len(head) + 1 {
		if _, err := reader.Peek(wanted); err != nil {
			return head, start, errors.WithStack(err)
		}
		head, _ = reader.Peek(reader.Buffered())
		for {
			length := bytes.IndexByte(head[checked:], '\n') + 1
			if length == 0 {
				break
			}
			line := head[checked : checked+length]
			if !bytes.HasSuffix(line, []byte(lineEnd)) {
				return head, start, fault(KindLineEnd, string(line))
			}
			checked += length
			isEmpty := length == len(lineEnd)
			switch {
			case isEmpty && start == checked-length:
				start = checked
			case isEmpty:
				return head[:checked], start, nil
			}
		}
	}
}

// checkRequest checks a complete head.
func checkRequest(head string) error {
	first, rest, _ := strings.Cut(head, lineEnd)
	if err := checkRequestLine(first); err != nil {
		return err
	}
	for rest != lineEnd {
		var line string
		line, rest, _ = strings.Cut(rest, lineEnd)
		if err := checkFieldLine(line); err != nil {
			return err
		}
	}
	return nil
}

func checkRequestLine(line string) error {
	method, rest, _ := strings.Cut(line, " ")
	target, used, _ := strings.Cut(rest, " ")
	if used != version && used != oldVersion {
		return fault(KindRequestLine, line)
	}
	if err := CheckMethod(method); err != nil {
		return err
	}
	if err := CheckTarget(target); err != nil {
		return err
	}
	return checkNoTunnel(method)
}

func checkFieldLine(line string) error {
	if strings.IndexAny(line[:1], blanks) == 0 {
		return fault(KindFolded, line)
	}
	name, value, hasColon := strings.Cut(line, ":")
	if !hasColon {
		return fault(KindFieldName, line)
	}
	return CheckField(name, strings.Trim(value, blanks))
}

// FieldOf returns the truncated value of the first field with a name, for logs. The head need not
// be well formed.
func FieldOf(head []byte, name string) string {
	for line := range bytes.Lines(head) {
		found, value, _ := bytes.Cut(line, []byte(":"))
		if strings.EqualFold(string(found), name) {
			return truncate(string(bytes.TrimSpace(value)))
		}
	}
	return ""
}
