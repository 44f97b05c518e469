// Package failure defines the typed errors that are passed between packages and
// processes. Every error that callers, operators or other daemons receive is a
// *failure.Error. Its Kind determines the HTTP status, and its NotRun whether the
// work may safely be retried.
package failure

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind classifies a failure. The string value is part of the public API.
type Kind string

// The kinds of failure. The meaning of a kind never changes.
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

// statusByKind contains the HTTP status of each kind.
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
	// Code identifies the failure within its kind, such as "queue_full".
	Code string `json:"code"`
	// Message describes the failure and, where possible, how to fix it.
	Message string `json:"message"`
	// NotRun is set only if no engine started the work.
	NotRun bool `json:"not_run"`
	// Line is the line of the input with the error, counted from 1, or 0.
	Line int `json:"line,omitempty"`
	// RetryAfter is the time after which to retry; 0 means that a retry does not
	// help or that there is no estimate.
	RetryAfter time.Duration `json:"-"`

	cause error
}

// New returns a failure. The message is formatted with fmt.Sprintf.
func New(kind Kind, code, format string, arguments ...any) *Error {
	return &Error{Kind: kind, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Wrap returns a failure with the error that caused it.
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

// Status returns the HTTP status of the failure. Callers retry after 429 and 503,
// so these are returned only if the request has not run.
func (e *Error) Status() int {
	meansNotRun := e.Kind == KindOverloaded || e.Kind == KindUnavailable
	if meansNotRun && !e.NotRun {
		return http.StatusBadGateway
	}
	if status, known := statusByKind[e.Kind]; known {
		return status
	}
	return http.StatusInternalServerError
}

// WithNotRun sets NotRun and returns the failure.
func (e *Error) WithNotRun() *Error {
	e.NotRun = true
	return e
}

// WithRetryAfter sets RetryAfter and returns the failure.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// WithLine sets Line and returns the failure.
func (e *Error) WithLine(line int) *Error {
	e.Line = line
	return e
}

// From returns the *Error that err wraps. An error of another type is wrapped with
// KindInternal. From(nil) is nil.
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
