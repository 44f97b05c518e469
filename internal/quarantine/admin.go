package quarantine

import (
	"crypto/subtle"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/failure"
)

// PathAdmin is the path that lists the quarantined requests and prompt parts (GET). DELETE on
// PathAdmin/FINGERPRINT lifts one quarantine.
const PathAdmin = "/v1/operator/quarantine"

// Entry describes one quarantined request or prompt part.
type Entry struct {
	Kind        Kind   `json:"kind"`
	Fingerprint string `json:"fingerprint"`
	// Backends are the ids of the backends that crashed while they ran it.
	Backends []string  `json:"backends"`
	Since    time.Time `json:"since"`
	Until    time.Time `json:"until"`
}

// Listing holds the requests and prompt parts that a daemon has quarantined, the latest first.
type Listing struct {
	Quarantined []Entry `json:"quarantined"`
}

// List returns all quarantined requests, the latest first.
func (g *Guard) List() Listing {
	listing := Listing{Quarantined: []Entry{}}
	for _, verdict := range g.Verdicts() {
		listing.Quarantined = append(listing.Quarantined, Entry{
			Kind: verdict.Fingerprint.Kind(), Fingerprint: verdict.Fingerprint.String(), Backends: verdict.Instances, Since: verdict.Since, Until: verdict.Until,
		})
	}
	return listing
}

// LiftNamed lifts the quarantine of a fingerprint in hexadecimal form.
func (g *Guard) LiftNamed(text string) error {
	fingerprint, err := ParseFingerprint(text)
	if err != nil {
		return failure.Wrap(err, failure.KindInvalid, "bad_fingerprint", "fingerprint must be given as in the logs and the listing")
	}
	if !g.Lift(fingerprint) {
		return failure.New(failure.KindNotFound, "not_quarantined", "no crash evidence for %s", text)
	}
	return nil
}

// Operate answers an operator's call: a DELETE lifts the quarantine that the path names.
// It returns the requests that are still quarantined.
func (g *Guard) Operate(isDelete bool, path string) (Listing, error) {
	if isDelete {
		if err := g.LiftNamed(strings.TrimPrefix(path, PathAdmin+"/")); err != nil {
			return Listing{}, err
		}
	}
	return g.List(), nil
}

// AdminHandler returns a handler for operators' calls. The bearer token must be the key.
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
		respond(call, fasthttp.StatusOK, listing)
	}
}

// errorBody is the response body of a refused call.
type errorBody struct {
	Error *failure.Error `json:"error"`
}

func refuse(call *fasthttp.RequestCtx, refusal *failure.Error) {
	respond(call, refusal.Status(), errorBody{Error: refusal})
}

func respond(call *fasthttp.RequestCtx, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		call.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	call.SetStatusCode(status)
	call.SetContentType("application/json")
	call.SetBody(content)
}
