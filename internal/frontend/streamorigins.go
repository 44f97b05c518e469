package frontend

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/backend"
	"topazpulley/internal/cluster"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/ratelimit"
	"topazpulley/internal/streamorigin"
)

const (
	// methodOriginCopy is the peer method that stores copies of stream origins, methodOriginFind
	// the one that asks for an origin.
	methodOriginCopy = "stream_origin.copy"
	methodOriginFind = "stream_origin.find"
	// methodSoftwareHistory is the peer method that asks for the software versions of services.
	methodSoftwareHistory = "backend.software_history"
	// originCallTimeout bounds a call whose caller sets no deadline.
	originCallTimeout = time.Second
)

// originRecord is a streamorigin.Record on the wire.
type originRecord struct {
	Key             []byte `avro:"key"`
	Service         string `avro:"service"`
	Software        string `avro:"software"`
	RemainingMillis int64  `avro:"remaining_ms"`
}

// originCopy carries records to a daemon that keeps copies.
type originCopy struct {
	Records []originRecord `avro:"records"`
}

// originCopyAnswer acknowledges the copies.
type originCopyAnswer struct{}

// originQuery is a streamorigin.Query.
type originQuery struct {
	Key     []byte `avro:"key"`
	Service string `avro:"service"`
}

// originAnswer is a streamorigin.Answer.
type originAnswer struct {
	HasRecord     bool   `avro:"has_record"`
	IsConflicting bool   `avro:"is_conflicting"`
	Service       string `avro:"service"`
	Software      string `avro:"software"`
	Opinion       int    `avro:"opinion"`
	Only          string `avro:"only"`
}

// historyQuery asks for a streamorigin.History.
type historyQuery struct {
	MustConfirm bool `avro:"must_confirm"`
}

// historyAnswer is a streamorigin.History.
type historyAnswer struct {
	Uses          []historyRecord `avro:"uses"`
	IsComplete    bool            `avro:"is_complete"`
	IsSettled     bool            `avro:"is_settled"`
	Members       int             `avro:"members"`
	IsWhole       bool            `avro:"is_whole"`
	Configuration int64           `avro:"configuration"`
}

// historyRecord is a backend.SoftwareUse.
type historyRecord struct {
	Service         string `avro:"service"`
	Version         string `avro:"version"`
	AgeMilliseconds int64  `avro:"age_milliseconds"`
}

var (
	historyQuerySchema  = avrocodec.MustParse(`{"type":"record","name":"history_query","fields":[{"name":"must_confirm","type":"boolean"}]}`)
	historyAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"history_answer","fields":[{"name":"uses","type":{"type":"array","items":{
		"type":"record","name":"history_record","fields":[{"name":"service","type":"string"},{"name":"version","type":"string"},
		{"name":"age_milliseconds","type":"long"}]}}},{"name":"is_complete","type":"boolean"},{"name":"is_settled","type":"boolean"},
		{"name":"members","type":"int"},{"name":"is_whole","type":"boolean"},{"name":"configuration","type":"long"}]}`)
)

var (
	originCopySchema = avrocodec.MustParse(`{"type":"record","name":"origin_copy","fields":[{"name":"records","type":{"type":"array","items":{
		"type":"record","name":"origin_record","fields":[{"name":"key","type":"bytes"},{"name":"service","type":"string"},
		{"name":"software","type":"string"},{"name":"remaining_ms","type":"long"}]}}}]}`)
	originCopyAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"origin_copy_answer","fields":[]}`)
	originQuerySchema      = avrocodec.MustParse(`{"type":"record","name":"origin_query","fields":[{"name":"key","type":"bytes"},{"name":"service","type":"string"}]}`)
	originAnswerSchema     = avrocodec.MustParse(`{"type":"record","name":"origin_answer","fields":[{"name":"has_record","type":"boolean"},
		{"name":"is_conflicting","type":"boolean"},{"name":"service","type":"string"},{"name":"software","type":"string"},
		{"name":"opinion","type":"int"},{"name":"only","type":"string"}]}`)
)

// Schema implements peer.Message.
func (originCopy) Schema() avro.Schema { return originCopySchema }

// Schema implements peer.Message.
func (originCopyAnswer) Schema() avro.Schema { return originCopyAnswerSchema }

// Schema implements peer.Message.
func (originQuery) Schema() avro.Schema { return originQuerySchema }

// Schema implements peer.Message.
func (originAnswer) Schema() avro.Schema { return originAnswerSchema }

// Schema implements peer.Message.
func (historyQuery) Schema() avro.Schema { return historyQuerySchema }

// Schema implements peer.Message.
func (historyAnswer) Schema() avro.Schema { return historyAnswerSchema }

// originPeers implements streamorigin.Peers with the cluster membership and the peer transport.
type originPeers struct {
	node      *cluster.Node
	transport *peer.Transport
	// limits remembers the daemons that are missing and not known to have ended.
	limits *ratelimit.ClusterFleet

	// mutex guards the members of the own region, which are computed again when the members
	// of the fleet have changed.
	mutex      sync.Mutex
	generation uint64
	members    []regionMember
}

// regionMember is a daemon of the own region.
type regionMember struct {
	name, zone, address string
	// hash is of the name.
	hash uint64
}

var _ streamorigin.Peers = (*originPeers)(nil)

// Copy implements streamorigin.Peers.
func (p *originPeers) Copy(ctx context.Context, record streamorigin.Record, count int, acknowledged chan<- struct{}) int {
	message := originCopy{Records: []originRecord{{
		Key: record.Key[:], Service: record.Origin.Service, Software: record.Origin.Software, RemainingMillis: time.Until(record.Expires).Milliseconds(),
	}}}
	chosen := p.keepers(record.Key, count)
	for _, address := range chosen {
		go func() {
			bounded, cancel := context.WithTimeout(ctx, originCallTimeout)
			defer cancel()
			if _, err := peer.Call[originCopy, originCopyAnswer](bounded, p.transport, address, methodOriginCopy, message); err == nil {
				acknowledged <- struct{}{}
			}
		}()
	}
	return len(chosen)
}

// Ask implements streamorigin.Peers. A daemon of an older build counts as one that knows nothing.
func (p *originPeers) Ask(ctx context.Context, query streamorigin.Query, count int, answers chan<- streamorigin.Answer) int {
	message := originQuery{Key: query.Key[:], Service: query.Service}
	chosen := p.keepers(query.Key, count)
	for _, address := range chosen {
		go func() {
			got, err := peer.Call[originQuery, originAnswer](ctx, p.transport, address, methodOriginFind, message)
			switch {
			case err == nil:
				answers <- answerOf(got)
			case failure.HasCode(err, peer.CodeNoMethod):
				answers <- streamorigin.Answer{}
			}
		}()
	}
	return len(chosen)
}

// AskHistory implements streamorigin.Peers. Daemons of the own zone and of others take turns. A
// daemon that does not answer, or is of an older build, sends an empty history.
func (p *originPeers) AskHistory(ctx context.Context, mustConfirm bool, count int, answers chan<- streamorigin.History) int {
	chosen := peersToAsk(p.node)
	chosen = chosen[:min(count, len(chosen))]
	for _, each := range chosen {
		go func() {
			got, err := peer.Call[historyQuery, historyAnswer](ctx, p.transport, each.Address, methodSoftwareHistory, historyQuery{MustConfirm: mustConfirm})
			if err != nil {
				got = historyAnswer{}
			}
			answers <- historyOf(got)
		}()
	}
	return len(chosen)
}

// Fleet implements streamorigin.Peers.
func (p *originPeers) Fleet() streamorigin.Fleet {
	isWhole := !p.node.HasGone(backend.SoftwareWindow) && !p.limits.HasUnmet() && len(p.limits.View().Missing) == 0
	return streamorigin.Fleet{Members: p.node.Count(), IsWhole: isWhole}
}

// historyOf decodes an answer.
func historyOf(got historyAnswer) streamorigin.History {
	found := streamorigin.History{
		IsComplete: got.IsComplete, IsSettled: got.IsSettled, Fleet: streamorigin.Fleet{Members: got.Members, IsWhole: got.IsWhole}, Configuration: got.Configuration,
	}
	for _, each := range got.Uses {
		age := time.Duration(each.AgeMilliseconds) * time.Millisecond
		found.Uses = append(found.Uses, backend.SoftwareUse{Service: each.Service, Version: each.Version, Age: age})
	}
	return found
}

// historyAnswerOf encodes an answer. Ages are rounded down, so that no version is forgotten early.
func historyAnswerOf(known streamorigin.History) historyAnswer {
	answer := historyAnswer{
		Uses: []historyRecord{}, IsComplete: known.IsComplete, IsSettled: known.IsSettled, Members: known.Fleet.Members, IsWhole: known.Fleet.IsWhole,
		Configuration: known.Configuration,
	}
	for _, each := range known.Uses {
		answer.Uses = append(answer.Uses, historyRecord{Service: each.Service, Version: each.Version, AgeMilliseconds: each.Age.Milliseconds()})
	}
	return answer
}

func answerOf(got originAnswer) streamorigin.Answer {
	return streamorigin.Answer{
		HasRecord: got.HasRecord, IsConflicting: got.IsConflicting, Origin: streamorigin.Origin{Service: got.Service, Software: got.Software},
		Opinion: streamorigin.Opinion{Kind: streamorigin.OpinionKind(got.Opinion), Only: got.Only},
	}
}

// keepers returns the addresses of the first daemons that keep copies of a key, this daemon left
// out.
func (p *originPeers) keepers(key streamorigin.Key, count int) []string {
	self := p.node.Self()
	addresses := make([]string, 0, count)
	for _, each := range keepersOf(key, p.regionMembers(self.Region)) {
		if each.name != self.Name && len(addresses) < count {
			addresses = append(addresses, each.address)
		}
	}
	return addresses
}

// regionMembers returns the live daemons of a region.
func (p *originPeers) regionMembers(region string) []regionMember {
	generation := p.node.Generation()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if generation != p.generation {
		p.generation, p.members = generation, membersOfRegion(region, p.node.Members())
	}
	return p.members
}

func membersOfRegion(region string, members []membership.Member) []regionMember {
	found := []regionMember{}
	for _, each := range members {
		if each.Region == region {
			found = append(found, regionMember{name: each.Name, zone: each.Zone, address: each.Address, hash: xxhash.Sum64String(each.Name)})
		}
	}
	return found
}

// rankedKeeper is a daemon with its weight for a key and its rank by weight in its zone.
type rankedKeeper struct {
	regionMember
	weight uint64
	rank   int
}

// keepersOf returns the daemons of a region in the order in which they keep copies of a key. All
// daemons that know the same members get the same order. The zones take turns, so that the copies
// outlive a zone.
func keepersOf(key streamorigin.Key, members []regionMember) []rankedKeeper {
	keyHash := xxhash.Sum64(key[:])
	ranked := make([]rankedKeeper, 0, len(members))
	for _, each := range members {
		ranked = append(ranked, rankedKeeper{regionMember: each, weight: mix(each.hash ^ keyHash)})
	}
	slices.SortFunc(ranked, func(a, b rankedKeeper) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	zones := map[string]int{}
	for index := range ranked {
		ranked[index].rank = zones[ranked[index].zone]
		zones[ranked[index].zone]++
	}
	slices.SortStableFunc(ranked, func(a, b rankedKeeper) int { return cmp.Compare(a.rank, b.rank) })
	return ranked
}

// mix spreads a combined hash over all bits.
func mix(value uint64) uint64 {
	value *= 0x9e3779b97f4a7c15
	value ^= value >> 29
	value *= 0xbf58476d1ce4e5b9
	return value ^ value>>32
}

// handleOrigins answers other daemons' calls from the keeper.
func handleOrigins(transport *peer.Transport, keeper *streamorigin.Keeper) {
	peer.Handle(transport, methodOriginCopy, func(_ context.Context, _ string, message originCopy) (originCopyAnswer, error) {
		records := []streamorigin.Record{}
		for _, each := range message.Records {
			key, isKey := keyOf(each.Key)
			if !isKey {
				return originCopyAnswer{}, failure.New(failure.KindInvalid, "bad_origin_key", "a stream origin's key has %d bytes", len(each.Key))
			}
			expires := time.Now().Add(time.Duration(each.RemainingMillis) * time.Millisecond)
			records = append(records, streamorigin.Record{Key: key, Origin: streamorigin.Origin{Service: each.Service, Software: each.Software}, Expires: expires})
		}
		keeper.Accept(records)
		return originCopyAnswer{}, nil
	})
	peer.Handle(transport, methodSoftwareHistory, func(ctx context.Context, _ string, query historyQuery) (historyAnswer, error) {
		return historyAnswerOf(keeper.AnswerHistory(ctx, query.MustConfirm)), nil
	})
	peer.Handle(transport, methodOriginFind, func(_ context.Context, _ string, query originQuery) (originAnswer, error) {
		key, isKey := keyOf(query.Key)
		if !isKey {
			return originAnswer{}, failure.New(failure.KindInvalid, "bad_origin_key", "a stream origin's key has %d bytes", len(query.Key))
		}
		known := keeper.Answer(streamorigin.Query{Key: key, Service: query.Service})
		return originAnswer{
			HasRecord: known.HasRecord, IsConflicting: known.IsConflicting, Service: known.Origin.Service, Software: known.Origin.Software,
			Opinion: int(known.Opinion.Kind), Only: known.Opinion.Only,
		}, nil
	})
}

// keyOf returns a key from the wire, and false if it has the wrong length.
func keyOf(content []byte) (key streamorigin.Key, isKey bool) {
	isKey = len(content) == len(key)
	copy(key[:], content)
	return key, isKey
}
