package httphead

import (
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// blanks are the optional whitespace characters around a field value (RFC 9110 section 5.6.3).
const blanks = " \t"

// CheckMethod returns a *Fault if the method is not a token.
func CheckMethod(method string) error {
	if !httpguts.ValidHeaderFieldName(method) {
		return fault(KindMethod, method)
	}
	return nil
}

// CheckTarget returns a *Fault if the target is not in origin form: an absolute path and an
// optional query, without blanks, control characters and fragments. The absolute, authority and
// asterisk forms (RFC 9112 sections 3.2.2 to 3.2.4) are not supported.
func CheckTarget(target string) error {
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, isNotForTargets) {
		return fault(KindTarget, target)
	}
	if _, err := url.ParseRequestURI(target); err != nil {
		return fault(KindTarget, target)
	}
	return nil
}

func isNotForTargets(char rune) bool { return char <= ' ' || char == 0x7f || char == '#' }

// checkNoTunnel returns a *Fault for CONNECT. Its target is a host and a port (RFC 9110 section
// 9.3.6), and all bytes after a successful answer belong to the tunnel, so that readers could
// disagree on where the next message starts.
func checkNoTunnel(method string) error {
	if method == http.MethodConnect {
		return fault(KindMethod, method)
	}
	return nil
}

// CheckHost returns a *Fault if the host is not a valid Host value.
func CheckHost(host string) error {
	if !httpguts.ValidHostHeader(host) {
		return fault(KindHost, host)
	}
	return nil
}

// CheckField returns a *Fault if the field name is not a token, or if the value has control
// characters, or blanks at its ends.
func CheckField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return fault(KindFieldName, name)
	}
	if !isValue(value) {
		return fault(KindFieldValue, name)
	}
	return nil
}

// isValue reports whether a value has no control characters and no blanks at its ends.
func isValue(value string) bool {
	return httpguts.ValidHeaderFieldValue(value) && strings.Trim(value, blanks) == value
}
