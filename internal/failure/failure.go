// Package failure defines the typed errors that cross package and process
// boundaries. Every error that a caller, an operator or another daemon can see
// is a *failure.Error; its Kind decides the HTTP status and whether the work
// may be tried again.
package failure

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind classifies a failure. The string value is part of the public API.
type Kind string

// The kinds of failure. A kind never changes its meaning.
const (
	KindInvalid        Kind = "invalid_request"
	KindTooLarge       Kind = "request_too_large"
	KindUnauthorized   Kind = "unauthorized"
	KindNotFound       Kind = "not_found"
	KindConflict       Kind = "conflict"
	KindOverloaded     Kind = "overloaded"
	KindUnavailable    Kind = "unavailable"
	KindDeadline       Kind = "deadline_exceeded"
	KindEngineFailed   Kind = "engine_failed"
	KindOutcomeUnknown Kind = "outcome_unknown"
	KindCancelled      Kind = "cancelled"
	KindInternal       Kind = "internal"
)

// statusByKind maps a kind to the HTTP status that callers receive.
var statusByKind = map[Kind]int{
	KindInvalid:        http.StatusBadRequest,
	KindTooLarge:       http.StatusRequestEntityTooLarge,
	KindUnauthorized:   http.StatusUnauthorized,
	KindNotFound:       http.StatusNotFound,
	KindConflict:       http.StatusConflict,
	KindOverloaded:     http.StatusTooManyRequests,
	KindUnavailable:    http.StatusServiceUnavailable,
	KindDeadline:       http.StatusGatewayTimeout,
	KindEngineFailed:   http.StatusBadGateway,
	KindOutcomeUnknown: http.StatusBadGateway,
	KindCancelled:      http.StatusConflict,
	KindInternal:       http.StatusInternalServerError,
}

// Error is a failure with a stable kind and code.
type Error struct {
	// Kind classifies the failure.
	Kind Kind `json:"type"`
	// Code names the exact failure within its kind, such as "queue_full".
	Code string `json:"code"`
	// Message tells a person what is wrong and what to change.
	Message string `json:"message"`
	// NotRun promises that no engine started the work.
	NotRun bool `json:"not_run"`
	// Line is the 1-based line of the input that is at fault, or 0.
	Line int `json:"line,omitempty"`
	// RetryAfter tells when to try again; 0 means that retrying is pointless
	// or that there is no estimate.
	RetryAfter time.Duration `json:"-"`

	cause error
}

// New makes a failure. The message is formatted with fmt.Sprintf.
func New(kind Kind, code, format string, arguments ...any) *Error {
	return &Error{Kind: kind, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Wrap makes a failure that records the error which caused it.
func Wrap(cause error, kind Kind, code, format string, arguments ...any) *Error {
	wrapped := New(kind, code, format, arguments...)
	wrapped.cause = errors.WithStack(cause)
	return wrapped
}

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Kind) + "/" + e.Code + ": " + e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Status returns the HTTP status for the failure. Callers repeat a request on 429
// and 503 as one that has not run, so that these are given with that promise only.
func (e *Error) Status() int {
	isPromise := e.Kind == KindOverloaded || e.Kind == KindUnavailable
	if isPromise && !e.NotRun {
		return http.StatusBadGateway
	}
	if status, known := statusByKind[e.Kind]; known {
		return status
	}
	return http.StatusInternalServerError
}

// WithNotRun returns the failure marked as not run.
func (e *Error) WithNotRun() *Error {
	e.NotRun = true
	return e
}

// WithRetryAfter returns the failure with a time after which a retry may help.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// WithLine returns the failure with the input line at fault.
func (e *Error) WithLine(line int) *Error {
	e.Line = line
	return e
}

// From returns err as a *Error; an error of another type becomes KindInternal.
// From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, KindInternal, "unexpected", "an internal error occurred")
}

// Is reports whether err is a failure of the given kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}

// HasCode reports whether err is a failure with the given code.
func HasCode(err error, code string) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Code == code
}
