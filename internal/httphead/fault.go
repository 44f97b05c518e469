// Package httphead reads and writes the heads of HTTP/1.1 messages strictly, to prevent request
// smuggling and header injection. It accepts only heads that all readers parse in the same way,
// and writes no line break within a line. PeekRequest checks the head of a request that arrives;
// a Writer builds a request or an answer.
package httphead

// Kind classifies faults of a head. Kinds are metric label values and error codes, so the set is
// bounded.
type Kind string

// The kinds of fault.
const (
	// KindLineEnd is a line that does not end in CR and LF (RFC 9112 section 2.2).
	KindLineEnd Kind = "line_end"
	// KindFolded is a line that begins with a blank (RFC 9112 sections 2.2 and 5.2).
	KindFolded Kind = "folded_line"
	// KindRequestLine is a first line that is not a method, a target and a version with
	// single spaces between them (RFC 9112 section 3).
	KindRequestLine Kind = "request_line"
	// KindMethod is a method that is not a token (RFC 9110 section 9.1).
	KindMethod Kind = "method"
	// KindTarget is a target that is not a path with an optional query (RFC 9112
	// section 3.2.1).
	KindTarget Kind = "target"
	// KindHost is a host with invalid bytes (RFC 9112 section 3.2).
	KindHost Kind = "host"
	// KindStatus is a status outside the range of final answers (RFC 9110 section 15).
	KindStatus Kind = "status"
	// KindFieldName is a field name that is not a token directly followed by a colon (RFC
	// 9110 section 5.1, RFC 9112 section 5.1).
	KindFieldName Kind = "field_name"
	// KindFieldValue is a field value with control characters or with blanks at its ends,
	// which readers remove (RFC 9110 section 5.5).
	KindFieldValue Kind = "field_value"
	// KindFraming is a body whose length is ambiguous (RFC 9112 sections 6.1 and 6.3).
	KindFraming Kind = "framing"
	// KindDuplicate is a second value of a field that allows only one (RFC 9110 section 5.3).
	KindDuplicate Kind = "duplicate_field"
	// KindConnection is an end-to-end field that the Connection field lists as hop-by-hop
	// (RFC 9110 section 7.6.1).
	KindConnection Kind = "connection_option"
	// KindJoined is a head that was cut off and goes on as the head of another answer.
	KindJoined Kind = "joined_heads"
	// KindUnread is a head that is invalid although each of its lines is well formed, such as
	// one without a Host (RFC 9112 section 3.2).
	KindUnread Kind = "unreadable"
)

// Fault is the error for a malformed head.
type Fault struct {
	Kind Kind
	// Detail is the faulty part or the name of the faulty field, truncated.
	Detail string
}

// Error implements error.
func (f *Fault) Error() string { return "malformed head: " + string(f.Kind) + ": " + f.Detail }

func fault(kind Kind, detail string) error { return &Fault{Kind: kind, Detail: truncate(detail)} }

// shownBytes is the maximum length of text from a head in an error or a log line.
const shownBytes = 80

func truncate(text string) string { return text[:min(len(text), shownBytes)] }
