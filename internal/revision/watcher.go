package revision

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/bundle"
	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/periodic"
	"topazpulley/internal/storage"
)

// Peer methods that watchers handle.
const (
	// MethodFetch reads another daemon's current or stored revision.
	MethodFetch = "revision.fetch"
	// MethodOffer sends another daemon a revision to store.
	MethodOffer = "revision.offer"
)

const (
	watchersPerZone = 2
	pollInterval    = 2 * time.Second
	fetchTimeout    = 3 * time.Second
	offerTimeout    = time.Second
	retryInterval   = 500 * time.Millisecond
	eventQueueSize  = 64
)

// FetchRequest requests a daemon's current or stored revision.
type FetchRequest struct {
	// Active is the digest of the bundle that the caller has. The answer omits
	// the text of that bundle.
	Active string
	// Stored requests the highest stored revision instead of the current one. A
	// starting daemon sets it; a daemon that is itself starting rejects it.
	Stored bool
}

// FetchAnswer contains a revision in JSON and the text of its active bundle. It
// is also the message of MethodOffer.
type FetchAnswer struct {
	Revision []byte
	Text     string
}

var fetchRequestSchema = avrocodec.MustParse(`{"type":"record","name":"FetchRequest","fields":[
	{"name":"Active","type":"string"},{"name":"Stored","type":"boolean"}]}`)

// Schema implements peer.Message.
func (FetchRequest) Schema() avro.Schema { return fetchRequestSchema }

var fetchAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"FetchAnswer","fields":[
	{"name":"Revision","type":"bytes"},{"name":"Text","type":"string"}]}`)

// Schema implements peer.Message.
func (FetchAnswer) Schema() avro.Schema { return fetchAnswerSchema }

// Watcher keeps the holder at the highest revision. In each zone, watchersPerZone
// daemons poll the log; every daemon fetches higher revisions that its peers
// announce.
type Watcher struct {
	holder    *Holder
	log       *Log
	platform  *storage.Client
	node      *cluster.Node
	transport *peer.Transport
	verify    Verify
	logger    *slog.Logger
	events    chan membership.Event
	started   atomic.Bool
}

// Verify checks the signatures of an active bundle.
type Verify func(text string, signatures []bundle.Signature) error

// NewWatcher returns a watcher and registers its peer methods.
func NewWatcher(holder *Holder, client *storage.Client, node *cluster.Node, transport *peer.Transport, verify Verify, logger *slog.Logger) *Watcher {
	watcher := &Watcher{
		holder: holder, log: NewLog(client), platform: client, node: node, transport: transport,
		verify: verify, logger: logger, events: make(chan membership.Event, eventQueueSize),
	}
	peer.Handle(transport, MethodFetch, watcher.handleFetch)
	peer.Handle(transport, MethodOffer, watcher.handleOffer)
	holder.Subscribe(func(applied Revision) {
		node.SetRevision(applied.Number)
		logger.Info("revision_applied", "revision", applied.Number, "kind", applied.Kind, "active", applied.Active, "operator", applied.Operator)
	})
	return watcher
}

// Receive is the membership subscriber that queues announced revisions to be
// fetched. Events are dropped while the queue is full.
func (w *Watcher) Receive(event membership.Event) {
	if event.Kind != membership.EventRevision {
		return
	}
	select {
	case w.events <- event:
	default:
	}
}

func (w *Watcher) handleFetch(_ context.Context, _ string, request FetchRequest) (FetchAnswer, error) {
	found, text := w.holder.Text()
	if request.Stored {
		if !w.started.Load() {
			return FetchAnswer{}, failure.New(failure.KindUnavailable, "starting", "this daemon has not loaded the highest revision yet").WithNotRun()
		}
		found, text = w.holder.Stored()
	}
	return newFetchAnswer(found, text, request.Active)
}

// newFetchAnswer encodes a revision. It omits the text if known is the digest of
// the revision's active bundle.
func newFetchAnswer(found Revision, text, known string) (FetchAnswer, error) {
	encoded, err := json.Marshal(found)
	if err != nil {
		return FetchAnswer{}, failure.Wrap(err, failure.KindInternal, "encode", "cannot encode the revision")
	}
	if found.Active == known {
		text = ""
	}
	return FetchAnswer{Revision: encoded, Text: text}, nil
}

// handleOffer stores a revision without making it current. The daemon that
// offers it makes it current and announces it once a majority has stored it.
func (w *Watcher) handleOffer(_ context.Context, _ string, offer FetchAnswer) (peer.Empty, error) {
	offered := Revision{}
	if err := json.Unmarshal(offer.Revision, &offered); err != nil {
		return peer.Empty{}, failure.Wrap(err, failure.KindInvalid, "bad_revision", "the offered revision is damaged")
	}
	if err := w.check(offered, offer.Text); err != nil {
		return peer.Empty{}, err
	}
	w.holder.Store(offered, offer.Text)
	return peer.Empty{}, nil
}

// Run polls the log and fetches announced revisions until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.fetchLoop(ctx)
	periodic.Run(ctx, pollInterval, func() { w.pollIfWatcher(ctx) })
}

func (w *Watcher) pollIfWatcher(ctx context.Context) {
	if !w.isWatcher() {
		return
	}
	if err := w.poll(ctx); err != nil {
		w.logger.Debug("revision_poll_failed", "error", err)
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

// ApplyFromTable makes a revision that was read from the log current. It reads the
// active bundle from the object store if the bundle changed.
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
	return w.storeAndApply(ctx, head, text)
}

// check verifies that text is the revision's active bundle. If that bundle is the
// revision's subject, it also verifies the signatures.
func (w *Watcher) check(next Revision, text string) error {
	if next.Active != "" && bundle.Digest(text) != next.Active {
		return failure.New(failure.KindInternal, "bundle_digest", "the text of bundle %.12s does not match its digest", next.Active)
	}
	if next.Active != "" && next.Subject == next.Active {
		return w.verify(text, next.Signatures)
	}
	return nil
}

// storeAndApply stores a revision that is new to the zone and makes it current
// once a majority of the zone's members has stored it. A daemon that restarts
// while the table is down can then read it from the other members.
func (w *Watcher) storeAndApply(ctx context.Context, next Revision, text string) error {
	if err := w.check(next, text); err != nil {
		return err
	}
	w.holder.Store(next, text)
	if err := w.offerToZone(ctx, next, text); err != nil {
		return err
	}
	return w.makeCurrent(next, text)
}

func (w *Watcher) makeCurrent(next Revision, text string) error {
	if _, err := w.holder.Apply(next, text); err != nil {
		return err
	}
	w.holder.Confirm(time.Now())
	return nil
}

// zonePeers returns the zone's other live members.
func (w *Watcher) zonePeers() []membership.Member {
	self := w.node.Self()
	peers := []membership.Member{}
	for _, member := range w.node.Members() {
		if member.Zone == self.Zone && member.Name != self.Name {
			peers = append(peers, member)
		}
	}
	return peers
}

// offerToZone offers the revision to the zone's other members and returns nil once
// a majority of the zone, including this daemon, has stored it.
func (w *Watcher) offerToZone(ctx context.Context, next Revision, text string) error {
	peers := w.zonePeers()
	offer, err := newFetchAnswer(next, text, "")
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	acknowledged := make(chan bool, len(peers))
	for _, member := range peers {
		go func() {
			_, err := peer.Call[FetchAnswer, peer.Empty](bounded, w.transport, member.Address, MethodOffer, offer)
			acknowledged <- err == nil
		}()
	}
	required := StoreQuorum(len(peers) + 1)
	stored := 1
	for range peers {
		if stored >= required {
			break
		}
		if <-acknowledged {
			stored++
		}
	}
	if stored < required {
		return failure.New(failure.KindUnavailable, "no_majority", "%d of %d zone members stored revision %d, %d are needed", stored, len(peers)+1, next.Number, required)
	}
	return nil
}

// StoreQuorum returns the number of a zone's members that must store a revision
// before any of them makes it current: a majority.
func StoreQuorum(members int) int { return members/2 + 1 }

// ReadQuorum returns the number of other members that a restarted member must
// read from. Among them is always one that stored the revision, even if the
// restarted member was part of the store quorum.
func ReadQuorum(members int) int { return members - StoreQuorum(members) + 1 }

func (w *Watcher) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-w.events:
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

// fetchFrom fetches and applies another daemon's current revision. If the daemon is
// in this zone, a majority of the zone has stored the revision. If it is in
// another zone, this zone must store the revision first.
func (w *Watcher) fetchFrom(ctx context.Context, address string) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	next, text, err := w.fetch(bounded, address, false)
	if err != nil {
		return err
	}
	for _, member := range w.zonePeers() {
		if member.Address == address {
			if err := w.check(next, text); err != nil {
				return err
			}
			return w.makeCurrent(next, text)
		}
	}
	return w.storeAndApply(bounded, next, text)
}

// fetch reads another daemon's current or stored revision and the text of its
// active bundle.
func (w *Watcher) fetch(ctx context.Context, address string, stored bool) (Revision, string, error) {
	current, text := w.holder.Text()
	next := Revision{}
	answer, err := peer.Call[FetchRequest, FetchAnswer](ctx, w.transport, address, MethodFetch, FetchRequest{Active: current.Active, Stored: stored})
	if err != nil {
		return next, "", err
	}
	if err := json.Unmarshal(answer.Revision, &next); err != nil {
		return next, "", failure.Wrap(err, failure.KindInternal, "bad_revision", "the peer's revision is damaged")
	}
	if next.Active != current.Active {
		text = answer.Text
	}
	return next, text, nil
}

// Bootstrap blocks until the daemon has the highest revision. It reads the
// revision from the table or, while the table is down, from a read quorum of the
// zone's members.
func (w *Watcher) Bootstrap(ctx context.Context) error {
	for {
		err := w.poll(ctx)
		if err != nil {
			err = w.fetchFromZone(ctx)
		}
		if err == nil {
			w.started.Store(true)
			return nil
		}
		w.logger.Info("waiting_for_revision", "error", err)
		select {
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.KindUnavailable, "no_revision", "stopped before a revision was loaded")
		case <-time.After(retryInterval):
		}
	}
}

// fetchFromZone reads the stored revisions of the zone's other members and
// applies the highest if a read quorum has answered.
func (w *Watcher) fetchFromZone(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := w.zonePeers()
	highest, highestText := w.holder.Stored()
	answers := 0
	for _, member := range peers {
		next, text, err := w.fetch(bounded, member.Address, true)
		if err != nil {
			continue
		}
		answers++
		if next.Number > highest.Number {
			highest, highestText = next, text
		}
	}
	required := ReadQuorum(len(peers) + 1)
	if answers < required {
		return failure.New(failure.KindUnavailable, "no_read_quorum", "%d of %d zone members answered, %d are needed", answers, len(peers), required)
	}
	return w.storeAndApply(bounded, highest, highestText)
}
