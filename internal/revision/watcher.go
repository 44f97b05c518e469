package revision

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/hamba/avro/v2"

	"topazpulley/internal/bundle"
	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/platform"
)

// MethodFetch reads the revision in force on another daemon.
const MethodFetch = "revision.fetch"

const (
	watchersPerZone = 2
	pollInterval    = 2 * time.Second
	fetchTimeout    = 3 * time.Second
	retryInterval   = 500 * time.Millisecond
	wantedQueue     = 64
)

// FetchRequest names the bundle that the caller has already; its text is then
// left out of the answer.
type FetchRequest struct {
	Active string
}

// FetchAnswer carries a revision and the text of its bundle.
type FetchAnswer struct {
	Revision []byte
	Text     string
}

var fetchRequestSchema = avro.MustParse(`{"type":"record","name":"FetchRequest","fields":[{"name":"Active","type":"string"}]}`)

// Schema implements peer.Message.
func (FetchRequest) Schema() avro.Schema { return fetchRequestSchema }

var fetchAnswerSchema = avro.MustParse(`{"type":"record","name":"FetchAnswer","fields":[
	{"name":"Revision","type":"bytes"},{"name":"Text","type":"string"}]}`)

// Schema implements peer.Message.
func (FetchAnswer) Schema() avro.Schema { return fetchAnswerSchema }

// Watcher keeps the holder at the highest revision: a few watchers per zone
// poll the log, and every daemon fetches what a peer shows to be higher.
type Watcher struct {
	holder    *Holder
	log       *Log
	platform  *platform.Client
	node      *cluster.Node
	transport *peer.Transport
	verify    Verify
	logger    *slog.Logger
	wanted    chan membership.Event
}

// Verify checks the signatures of an active bundle.
type Verify func(text string, signatures []bundle.Signature) error

// NewWatcher makes a watcher and registers its peer method.
func NewWatcher(holder *Holder, client *platform.Client, node *cluster.Node, transport *peer.Transport, verify Verify, logger *slog.Logger) *Watcher {
	watcher := &Watcher{
		holder: holder, log: NewLog(client), platform: client, node: node, transport: transport,
		verify: verify, logger: logger, wanted: make(chan membership.Event, wantedQueue),
	}
	peer.Handle(transport, MethodFetch, watcher.answerFetch)
	holder.Subscribe(func(applied Revision) {
		node.SetRevision(applied.Number)
		logger.Info("revision_applied", "revision", applied.Number, "kind", applied.Kind, "active", applied.Active, "operator", applied.Operator)
	})
	return watcher
}

// Receive is the membership subscriber that learns of higher revisions.
func (w *Watcher) Receive(event membership.Event) {
	if event.Kind != membership.EventRevision {
		return
	}
	select {
	case w.wanted <- event:
	default:
	}
}

func (w *Watcher) answerFetch(_ context.Context, _ string, request FetchRequest) (FetchAnswer, error) {
	current, text := w.holder.Text()
	if request.Active == current.Active {
		text = ""
	}
	encoded, err := json.Marshal(current)
	if err != nil {
		return FetchAnswer{}, failure.Wrap(err, failure.KindInternal, "encode", "cannot encode the revision")
	}
	return FetchAnswer{Revision: encoded, Text: text}, nil
}

// Run polls and fetches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.fetchLoop(ctx)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !w.isWatcher() {
			continue
		}
		if err := w.poll(ctx); err != nil {
			w.logger.Debug("revision_poll_failed", "error", err)
		}
	}
}

func (w *Watcher) isWatcher() bool {
	owners := duty.Owners("watch/"+w.node.Self().Zone, w.node.ZoneNames(), watchersPerZone)
	return slices.Contains(owners, w.node.Self().Name)
}

// poll reads the head of the log and applies it.
func (w *Watcher) poll(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	head, err := w.log.Head(bounded)
	if err != nil {
		return err
	}
	return w.ApplyFromTable(bounded, head)
}

// ApplyFromTable puts a revision read from the log in force, reading its
// bundle from the object store.
func (w *Watcher) ApplyFromTable(ctx context.Context, head Revision) error {
	current, text := w.holder.Text()
	if head.Number <= current.Number {
		w.holder.Confirm(time.Now())
		return nil
	}
	if head.Active != current.Active && head.Active != "" {
		content, err := w.platform.GetObject(ctx, BundleObject(head.Active))
		if err != nil {
			return err
		}
		text = string(content)
	}
	return w.apply(head, text)
}

// apply verifies a revision's bundle and puts it in force.
func (w *Watcher) apply(next Revision, text string) error {
	if next.Active != "" && bundle.Digest(text) != next.Active {
		return failure.New(failure.KindInternal, "bundle_digest", "the text of bundle %.12s does not fit its digest", next.Active)
	}
	if next.Active != "" && next.Subject == next.Active {
		if err := w.verify(text, next.Signatures); err != nil {
			return err
		}
	}
	if _, err := w.holder.Apply(next, text); err != nil {
		return err
	}
	w.holder.Confirm(time.Now())
	return nil
}

func (w *Watcher) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-w.wanted:
			current, _ := w.holder.Current()
			if event.Revision <= current.Number {
				continue
			}
			if err := w.fetchFrom(ctx, event.Address); err != nil {
				w.logger.Info("revision_fetch_failed", "peer", event.Address, "revision", event.Revision, "error", err)
			}
		}
	}
}

func (w *Watcher) fetchFrom(ctx context.Context, address string) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	current, text := w.holder.Text()
	answer, err := peer.Call[FetchRequest, FetchAnswer](bounded, w.transport, address, MethodFetch, FetchRequest{Active: current.Active})
	if err != nil {
		return err
	}
	next := Revision{}
	if err := json.Unmarshal(answer.Revision, &next); err != nil {
		return failure.Wrap(err, failure.KindInternal, "bad_revision", "the peer's revision is damaged")
	}
	if next.Active != current.Active {
		text = answer.Text
	}
	return w.apply(next, text)
}

// Bootstrap waits until the daemon holds the highest revision: from the table,
// or, while the table is down, from a majority of the zone's live members.
func (w *Watcher) Bootstrap(ctx context.Context) error {
	for {
		err := w.poll(ctx)
		if err == nil || w.askZone(ctx) {
			return nil
		}
		w.logger.Info("waiting_for_revision", "error", err)
		select {
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.KindUnavailable, "no_revision", "stopped before a revision was known")
		case <-time.After(retryInterval):
		}
	}
}

// askZone reads the revisions of the zone's other members. It succeeds when a
// majority of the zone's known members answered and one of them is ready.
func (w *Watcher) askZone(ctx context.Context) bool {
	self := w.node.Self()
	others := 0
	answers := 0
	for _, member := range w.node.Members() {
		if member.Zone != self.Zone || member.Name == self.Name {
			continue
		}
		others++
		if w.fetchFrom(ctx, member.Address) == nil {
			answers++
		}
	}
	current, _ := w.holder.Current()
	return others > 0 && answers*2 > others && current.Number > 0
}
