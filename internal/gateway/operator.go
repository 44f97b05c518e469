package gateway

import (
	"context"
	"crypto/subtle"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/bundle"
	"topazpulley/internal/failure"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/revision"
)

// Paths of the operator API, its timeout, and the number of revisions in the history.
const (
	operatorPrefix  = "/v1/operator/"
	PathRevisions   = operatorPrefix + "revisions"
	PathHistory     = operatorPrefix + "history"
	PathStatus      = operatorPrefix + "status"
	PathBundle      = operatorPrefix + "bundle"
	operatorTimeout = 5 * time.Second
	historyLimit    = 50
)

// ChangeRequest is the body of a request to append a revision.
type ChangeRequest struct {
	Kind revision.Kind `json:"kind"`
	// Digest identifies the bundle to roll or withdraw.
	Digest string `json:"digest,omitempty"`
	// Text and Signatures are those of the bundle to accept.
	Text       string             `json:"text,omitempty"`
	Signatures []bundle.Signature `json:"signatures,omitempty"`
	Operator   string             `json:"operator"`
	// OperationID identifies the operation, so that a repeated call has no further
	// effect. If empty, the daemon generates one.
	OperationID string `json:"operation_id"`
	// Base is the latest revision that the operator has seen, or -1 for any.
	Base int64 `json:"base"`
}

func (g *Gateway) handleOperator(call *fasthttp.RequestCtx, path string) {
	token := []byte(bearerToken(call))
	expected := []byte(g.Settings.OperatorToken)
	if len(expected) == 0 || subtle.ConstantTimeCompare(token, expected) != 1 {
		g.writeFailure(call, failure.New(failure.KindUnauthorized, "bad_operator_token", "send the operator token as a bearer token").WithNotRun())
		return
	}
	ctx, cancel := context.WithTimeout(g.lifetime, operatorTimeout)
	defer cancel()
	answer, err := g.operate(ctx, call, operatorPrefix+path)
	if err != nil {
		g.writeFailure(call, err)
		return
	}
	writeJSON(call, answer)
}

// operate dispatches an operator's request by path and returns the response body.
func (g *Gateway) operate(ctx context.Context, call *fasthttp.RequestCtx, path string) (any, error) {
	switch {
	case path == PathRevisions && call.IsPost():
		return g.changeRevision(ctx, call)
	case path == PathHistory:
		return g.Log.History(ctx, historyLimit)
	case strings.HasPrefix(path, quarantine.PathAdmin):
		return g.Engines.Quarantine.Operate(call.IsDelete(), path)
	case path == PathStatus:
		return g.status(), nil
	case path == PathBundle:
		return g.bundleText(ctx, string(call.QueryArgs().Peek("digest")))
	}
	return nil, failure.New(failure.KindNotFound, "no_path", "there is nothing at %s", path).WithNotRun()
}

// BundleText is the response body with the text of a bundle.
type BundleText struct {
	Digest string `json:"digest"`
	Text   string `json:"text"`
}

func (g *Gateway) bundleText(ctx context.Context, digest string) (BundleText, error) {
	content, err := g.Platform.GetObject(ctx, revision.BundleObject(digest))
	return BundleText{Digest: digest, Text: string(content)}, err
}

// changeRevision checks an operator's request, appends the revision and applies it on
// this daemon. Gossip distributes it to the others.
func (g *Gateway) changeRevision(ctx context.Context, call *fasthttp.RequestCtx) (revision.Revision, error) {
	request := ChangeRequest{Base: -1}
	if err := decodeBody(call, &request); err != nil {
		return revision.Revision{}, err
	}
	if request.Operator == "" {
		return revision.Revision{}, failure.New(failure.KindInvalid, "no_operator", "operator is required").WithNotRun()
	}
	if request.OperationID == "" {
		request.OperationID = ulid.Make().String()
	}
	if request.Kind == revision.KindAccept {
		if err := g.acceptBundle(ctx, &request); err != nil {
			return revision.Revision{}, err
		}
	}
	appended, err := g.Log.Append(ctx, revision.Change{
		Kind: request.Kind, Subject: request.Digest, Signatures: request.Signatures,
		Operator: request.Operator, OperationID: request.OperationID, Base: request.Base,
	}, time.Now())
	if err != nil {
		return appended, err
	}
	g.Logger.Info("revision_appended", "revision", appended.Number, "kind", appended.Kind, "subject", appended.Subject, "operator", appended.Operator)
	if err := g.Watcher.ApplyFromTable(ctx, appended); err != nil {
		g.Logger.Warn("revision_apply_delayed", "revision", appended.Number, "error", err)
	}
	return appended, nil
}

// acceptBundle checks a bundle and its signatures and stores its text.
func (g *Gateway) acceptBundle(ctx context.Context, request *ChangeRequest) error {
	if _, err := bundle.Parse(request.Text); err != nil {
		return failure.From(err).WithNotRun()
	}
	err := bundle.Verify(request.Text, request.Signatures, g.Settings.OperatorKeys, g.Settings.RequiredSignatures)
	if err != nil {
		return failure.From(err).WithNotRun()
	}
	request.Digest = bundle.Digest(request.Text)
	return g.Platform.Put(ctx, revision.BundleObject(request.Digest), []byte(request.Text))
}
