// Package httphead reads and writes the heads of HTTP/1.1 messages strictly. What
// it lets in, every reader understands the same way; what it writes holds no line
// break but those between its lines, so that no word of a caller, a backend or the
// store can become a line or a message of its own.
package httphead

// Kind classifies what is wrong with a head. The set is bounded: kinds are labels
// of a metric and codes of refusals.
type Kind string

// The kinds of fault.
const (
	// KindLineEnd is a line that does not end in CR and LF (RFC 9112 section 2.2).
	KindLineEnd Kind = "line_end"
	// KindFolded is a line that begins with a blank (RFC 9112 sections 2.2 and 5.2).
	KindFolded Kind = "folded_line"
	// KindRequestLine is a first line that is not a method, a target and a version,
	// parted by one space each (RFC 9112 section 3).
	KindRequestLine Kind = "request_line"
	// KindMethod is a method that is no token (RFC 9110 section 9.1).
	KindMethod Kind = "method"
	// KindTarget is a target that is not a path with an optional query (RFC 9112
	// section 3.2.1).
	KindTarget Kind = "target"
	// KindHost is a host with bytes that no host has (RFC 9112 section 3.2).
	KindHost Kind = "host"
	// KindStatus is a status that no final answer has (RFC 9110 section 15).
	KindStatus Kind = "status"
	// KindFieldName is a field's name that is no token directly before its colon
	// (RFC 9110 section 5.1, RFC 9112 section 5.1).
	KindFieldName Kind = "field_name"
	// KindFieldValue is a field's value with control characters, or with blanks at
	// its ends, which readers drop (RFC 9110 section 5.5).
	KindFieldValue Kind = "field_value"
	// KindFraming is a body whose end two readers could see differently (RFC 9112
	// sections 6.1 and 6.3).
	KindFraming Kind = "framing"
	// KindDuplicate is a second value where one alone has a meaning (RFC 9110
	// section 5.3).
	KindDuplicate Kind = "duplicate_field"
	// KindConnection is a field for the final recipient that Connection names as one
	// of the connection (RFC 9110 section 7.6.1).
	KindConnection Kind = "connection_option"
	// KindUnread is a head of well-formed lines that cannot be read as a whole, such
	// as one without a Host (RFC 9112 section 3.2).
	KindUnread Kind = "unreadable"
)

// Fault tells what is wrong with a head.
type Fault struct {
	Kind Kind
	// Detail names the field or the part at fault.
	Detail string
}

// Error implements error.
func (f *Fault) Error() string { return "malformed head: " + string(f.Kind) + ": " + f.Detail }

func fault(kind Kind, detail string) error { return &Fault{Kind: kind, Detail: shown(detail)} }

// shownBytes bounds the part of foreign text that a fault shows.
const shownBytes = 80

func shown(text string) string { return text[:min(len(text), shownBytes)] }
