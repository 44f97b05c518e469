package httphead

import (
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// blanks are the optional white space around a field's value (RFC 9110 section
// 5.6.3).
const blanks = " \t"

// CheckMethod reports a method that is no token.
func CheckMethod(method string) error {
	if !httpguts.ValidHeaderFieldName(method) {
		return fault(KindMethod, method)
	}
	return nil
}

// CheckTarget reports a target that is not in origin form: an absolute path and an
// optional query, without blanks, controls and fragments. The absolute, authority
// and asterisk forms (RFC 9112 sections 3.2.2 to 3.2.4) name what is not served
// here, or would have to be rewritten.
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

// checkNoTunnel reports a CONNECT to a path. Its target names a host and a port (RFC 9110
// section 9.3.6), and behind an answer of success every byte belongs to the tunnel: a
// reader that knows this sees other messages behind it than one that does not.
func checkNoTunnel(method string) error {
	if method == http.MethodConnect {
		return fault(KindMethod, method)
	}
	return nil
}

// CheckHost reports a host that cannot be one.
func CheckHost(host string) error {
	if !httpguts.ValidHostHeader(host) {
		return fault(KindHost, host)
	}
	return nil
}

// CheckField reports a field whose name is no token, or whose value would not reach
// its reader as it is.
func CheckField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return fault(KindFieldName, name)
	}
	if !isValue(value) {
		return fault(KindFieldValue, name)
	}
	return nil
}

// isValue reports whether a value has no control characters, and no blanks at its
// ends.
func isValue(value string) bool {
	return httpguts.ValidHeaderFieldValue(value) && strings.Trim(value, blanks) == value
}
