package quarantine

import (
	"crypto/subtle"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/failure"
)

// PathAdmin is where a daemon lists what is quarantined (GET) and, behind it and a
// fingerprint, lifts a quarantine by hand (DELETE).
const PathAdmin = "/v1/operator/quarantine"

// Entry is one request that is quarantined.
type Entry struct {
	Fingerprint string `json:"fingerprint"`
	// Backends are the ids of the backends that ended under it.
	Backends []string  `json:"backends"`
	Since    time.Time `json:"since"`
	Until    time.Time `json:"until"`
}

// Listing is all that a daemon holds quarantined, the latest first.
type Listing struct {
	Quarantined []Entry `json:"quarantined"`
}

// List returns all requests that are quarantined.
func (g *Guard) List() Listing {
	listing := Listing{Quarantined: []Entry{}}
	for _, verdict := range g.Verdicts() {
		listing.Quarantined = append(listing.Quarantined, Entry{
			Fingerprint: verdict.Fingerprint.String(), Backends: verdict.Instances, Since: verdict.Since, Until: verdict.Until,
		})
	}
	return listing
}

// LiftNamed lifts the quarantine of a fingerprint as logs carry it.
func (g *Guard) LiftNamed(text string) error {
	fingerprint, err := ParseFingerprint(text)
	if err != nil {
		return failure.Wrap(err, failure.KindInvalid, "bad_fingerprint", "give the fingerprint as logs and the list show it")
	}
	if !g.Lift(fingerprint) {
		return failure.New(failure.KindNotFound, "not_quarantined", "nothing is known against %s", text)
	}
	return nil
}

// Operate answers an operator's call behind either door: it lifts the quarantine that
// a DELETE names, and lists what is quarantined then.
func (g *Guard) Operate(isDelete bool, path string) (Listing, error) {
	if isDelete {
		if err := g.LiftNamed(strings.TrimPrefix(path, PathAdmin+"/")); err != nil {
			return Listing{}, err
		}
	}
	return g.List(), nil
}

// AdminHandler answers operators' calls whose bearer token is the key.
func AdminHandler(guard *Guard, key string) fasthttp.RequestHandler {
	return func(call *fasthttp.RequestCtx) {
		token := strings.TrimPrefix(string(call.Request.Header.Peek("Authorization")), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(key)) != 1 {
			refuse(call, failure.New(failure.KindUnauthorized, "bad_key", "send the cluster key as a bearer token"))
			return
		}
		listing, err := guard.Operate(call.IsDelete(), string(call.Path()))
		if err != nil {
			refuse(call, failure.From(err))
			return
		}
		answer(call, fasthttp.StatusOK, listing)
	}
}

// errorBody is the body of a refused call.
type errorBody struct {
	Error *failure.Error `json:"error"`
}

func refuse(call *fasthttp.RequestCtx, refusal *failure.Error) {
	answer(call, refusal.Status(), errorBody{Error: refusal})
}

func answer(call *fasthttp.RequestCtx, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		call.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	call.SetStatusCode(status)
	call.SetContentType("application/json")
	call.SetBody(content)
}
