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

// Methods of the peer protocol that watchers answer.
const (
	// MethodFetch reads the revision in force on another daemon, or the one
	// that it has stored.
	MethodFetch = "revision.fetch"
	// MethodOffer gives another daemon a revision to store.
	MethodOffer = "revision.offer"
)

const (
	watchersPerZone = 2
	pollInterval    = 2 * time.Second
	fetchTimeout    = 3 * time.Second
	offerTimeout    = time.Second
	retryInterval   = 500 * time.Millisecond
	wantedQueue     = 64
)

// FetchRequest names the bundle that the caller has already; its text is then
// left out of the answer.
type FetchRequest struct {
	Active string
	// Stored asks for the highest stored revision, on behalf of a daemon that
	// starts; only a daemon that has itself started answers.
	Stored bool
}

// FetchAnswer carries a revision and the text of its bundle.
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

// Watcher keeps the holder at the highest revision: a few watchers per zone
// poll the log, and every daemon fetches what a peer shows to be higher.
type Watcher struct {
	holder    *Holder
	log       *Log
	platform  *storage.Client
	node      *cluster.Node
	transport *peer.Transport
	verify    Verify
	logger    *slog.Logger
	wanted    chan membership.Event
	started   atomic.Bool
}

// Verify checks the signatures of an active bundle.
type Verify func(text string, signatures []bundle.Signature) error

// NewWatcher makes a watcher and registers its peer method.
func NewWatcher(holder *Holder, client *storage.Client, node *cluster.Node, transport *peer.Transport, verify Verify, logger *slog.Logger) *Watcher {
	watcher := &Watcher{
		holder: holder, log: NewLog(client), platform: client, node: node, transport: transport,
		verify: verify, logger: logger, wanted: make(chan membership.Event, wantedQueue),
	}
	peer.Handle(transport, MethodFetch, watcher.answerFetch)
	peer.Handle(transport, MethodOffer, watcher.acceptOffer)
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
	shown, text := w.holder.Text()
	if request.Stored {
		if !w.started.Load() {
			return FetchAnswer{}, failure.New(failure.KindUnavailable, "starting", "this daemon does not know the highest revision itself").WithNotRun()
		}
		shown, text = w.holder.Stored()
	}
	return answerWith(shown, text, request.Active)
}

// answerWith leaves the text out when the caller has it already.
func answerWith(shown Revision, text, known string) (FetchAnswer, error) {
	encoded, err := json.Marshal(shown)
	if err != nil {
		return FetchAnswer{}, failure.Wrap(err, failure.KindInternal, "encode", "cannot encode the revision")
	}
	if shown.Active == known {
		text = ""
	}
	return FetchAnswer{Revision: encoded, Text: text}, nil
}

// acceptOffer stores a revision for the zone. It does not put it in force:
// that follows once a majority has stored it.
func (w *Watcher) acceptOffer(_ context.Context, _ string, offer FetchAnswer) (peer.Empty, error) {
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

// Run polls and fetches until the context ends.
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
	return w.learn(ctx, head, text)
}

// check verifies that a text is the revision's active bundle and signed.
func (w *Watcher) check(next Revision, text string) error {
	if next.Active != "" && bundle.Digest(text) != next.Active {
		return failure.New(failure.KindInternal, "bundle_digest", "the text of bundle %.12s does not fit its digest", next.Active)
	}
	if next.Active != "" && next.Subject == next.Active {
		return w.verify(text, next.Signatures)
	}
	return nil
}

// learn takes a revision that is new to the zone: a majority of the zone's
// members must store it before it is put in force, so that a daemon that
// restarts while the table is down finds it again.
func (w *Watcher) learn(ctx context.Context, next Revision, text string) error {
	if err := w.check(next, text); err != nil {
		return err
	}
	w.holder.Store(next, text)
	if err := w.offerToZone(ctx, next, text); err != nil {
		return err
	}
	return w.putInForce(next, text)
}

func (w *Watcher) putInForce(next Revision, text string) error {
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

// offerToZone returns once a majority of the zone, this daemon included, has
// stored the revision.
func (w *Watcher) offerToZone(ctx context.Context, next Revision, text string) error {
	peers := w.zonePeers()
	offer, err := answerWith(next, text, "")
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
	wanted := StoreQuorum(len(peers) + 1)
	stored := 1
	for range peers {
		if stored >= wanted {
			break
		}
		if <-acknowledged {
			stored++
		}
	}
	if stored < wanted {
		return failure.New(failure.KindUnavailable, "no_majority", "%d of %d zone members stored revision %d, %d are needed", stored, len(peers)+1, next.Number, wanted)
	}
	return nil
}

// StoreQuorum is the number of a zone's members that must store a revision
// before any of them puts it in force: a majority.
func StoreQuorum(members int) int { return members/2 + 1 }

// ReadQuorum is the number of the other members that a restarted one, which
// has forgotten everything, must ask to meet at least one that stored: the
// members that stored, less the restarted one, and those asked overlap.
func ReadQuorum(members int) int { return members - StoreQuorum(members) + 1 }

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

// fetchFrom takes the revision in force on another daemon. One of this zone has
// seen a majority store it; from another zone, this zone must still store it.
func (w *Watcher) fetchFrom(ctx context.Context, address string) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	next, text, err := w.ask(bounded, address, false)
	if err != nil {
		return err
	}
	for _, member := range w.zonePeers() {
		if member.Address == address {
			if err := w.check(next, text); err != nil {
				return err
			}
			return w.putInForce(next, text)
		}
	}
	return w.learn(bounded, next, text)
}

// ask reads another daemon's revision in force, or its stored one.
func (w *Watcher) ask(ctx context.Context, address string, stored bool) (Revision, string, error) {
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

// Bootstrap waits until the daemon holds the highest revision: from the table,
// or, while the table is down, from a quorum of the zone's members.
func (w *Watcher) Bootstrap(ctx context.Context) error {
	for {
		err := w.poll(ctx)
		if err != nil {
			err = w.askZone(ctx)
		}
		if err == nil {
			w.started.Store(true)
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

// askZone reads the stored revisions of the zone's other members and takes the
// highest once a read quorum has answered.
func (w *Watcher) askZone(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := w.zonePeers()
	highest, highestText := w.holder.Stored()
	answers := 0
	for _, member := range peers {
		next, text, err := w.ask(bounded, member.Address, true)
		if err != nil {
			continue
		}
		answers++
		if next.Number > highest.Number {
			highest, highestText = next, text
		}
	}
	wanted := ReadQuorum(len(peers) + 1)
	if answers < wanted {
		return failure.New(failure.KindUnavailable, "no_read_quorum", "%d of %d zone members answered, %d are needed", answers, len(peers), wanted)
	}
	return w.learn(bounded, highest, highestText)
}
