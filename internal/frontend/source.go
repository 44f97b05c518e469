package frontend

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/table"
)

// methodNewer is the peer method that returns a daemon's copy of a table.
const methodNewer = "table.newer"

// methodNewerPart is the same for a table of which each daemon may keep only a section.
const methodNewerPart = "table.newer_part"

// newerRequest asks for a copy of a table that is newer than a version.
type newerRequest struct {
	Table string `avro:"table"`
	After int64  `avro:"after"`
}

// newerAnswer is a copy of a table. Rows is empty unless the copy is newer. Version is 0 if the
// table is not followed or only a section of it is kept.
type newerAnswer struct {
	Version         int64       `avro:"version"`
	IsNewer         bool        `avro:"is_newer"`
	AgeMilliseconds int64       `avro:"age_milliseconds"`
	Rows            []rowRecord `avro:"rows"`
}

// newerPartAnswer is newerAnswer for a table that may be kept as a section (table.Section).
type newerPartAnswer struct {
	Version         int64       `avro:"version"`
	IsNewer         bool        `avro:"is_newer"`
	AgeMilliseconds int64       `avro:"age_milliseconds"`
	IsPart          bool        `avro:"is_part"`
	From            string      `avro:"from"`
	Before          string      `avro:"before"`
	Width           float64     `avro:"width"`
	Rows            []rowRecord `avro:"rows"`
}

type rowRecord struct {
	Table     string `avro:"table"`
	Partition string `avro:"partition"`
	Key       string `avro:"key"`
	Value     []byte `avro:"value"`
	Version   int64  `avro:"version"`
	IsDeleted bool   `avro:"is_deleted"`
}

// rowRecordSchema is the Avro schema of rowRecord.
const rowRecordSchema = `{"type":"record","name":"row","fields":[{"name":"table","type":"string"},{"name":"partition","type":"string"},{"name":"key","type":"string"},
	{"name":"value","type":"bytes"},{"name":"version","type":"long"},{"name":"is_deleted","type":"boolean"}]}`

// rowRecords converts rows to records.
func rowRecords(rows []table.Row) []rowRecord {
	records := make([]rowRecord, 0, len(rows))
	for _, row := range rows {
		value := row.Value
		if value == nil {
			value = []byte{}
		}
		records = append(records, rowRecord{Table: row.Table, Partition: row.Partition, Key: row.Key, Value: value, Version: int64(row.Version), IsDeleted: row.Deleted})
	}
	return records
}

// tableRows converts records to rows.
func tableRows(records []rowRecord) []table.Row {
	rows := make([]table.Row, 0, len(records))
	for _, each := range records {
		rows = append(rows, table.Row{
			Table: each.Table, Partition: each.Partition, Key: each.Key, Value: each.Value, Version: table.Version(each.Version), Deleted: each.IsDeleted,
		})
	}
	return rows
}

var (
	newerRequestSchema = avrocodec.MustParse(`{"type":"record","name":"newer_request","fields":[{"name":"table","type":"string"},{"name":"after","type":"long"}]}`)
	newerAnswerSchema  = avrocodec.MustParse(`{"type":"record","name":"newer_answer","fields":[{"name":"version","type":"long"},
		{"name":"is_newer","type":"boolean"},{"name":"age_milliseconds","type":"long"},
		{"name":"rows","type":{"type":"array","items":` + rowRecordSchema + `}}]}`)
)

var newerPartAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"newer_part_answer","fields":[{"name":"version","type":"long"},
	{"name":"is_newer","type":"boolean"},{"name":"age_milliseconds","type":"long"},{"name":"is_part","type":"boolean"},
	{"name":"from","type":"string"},{"name":"before","type":"string"},{"name":"width","type":"double"},
	{"name":"rows","type":{"type":"array","items":` + rowRecordSchema + `}}]}`)

// Schema implements peer.Message.
func (newerPartAnswer) Schema() avro.Schema { return newerPartAnswerSchema }

// Schema implements peer.Message.
func (newerRequest) Schema() avro.Schema { return newerRequestSchema }

// Schema implements peer.Message.
func (newerAnswer) Schema() avro.Schema { return newerAnswerSchema }

// peerSource serves this daemon's copies of followed tables to other daemons, and requests
// theirs. Copies must be offered before the transport starts.
type peerSource struct {
	node      *cluster.Node
	transport *peer.Transport
	copies    map[string]followedCopy
}

var _ table.Peers = (*peerSource)(nil)

func newPeerSource(node *cluster.Node, transport *peer.Transport) *peerSource {
	source := &peerSource{node: node, transport: transport, copies: map[string]followedCopy{}}
	peer.Handle(transport, methodNewer, source.answer)
	peer.Handle(transport, methodNewerPart, source.answerPart)
	return source
}

func (s *peerSource) offer(name string, offered followedCopy) { s.copies[name] = offered }

func (s *peerSource) answer(_ context.Context, _ string, request newerRequest) (newerAnswer, error) {
	answer := newerAnswer{Rows: []rowRecord{}}
	offered, isOffered := s.copies[request.Table]
	if !isOffered || offered.replica.Section().IsPart {
		return answer, nil
	}
	answer.AgeMilliseconds = roundUp(offered.follower.Age())
	rows, version, isNewer := offered.replica.Since(table.Version(request.After))
	answer.Version, answer.IsNewer, answer.Rows = int64(version), isNewer, rowRecords(rows)
	return answer, nil
}

// answerPart returns the copy of a table with its section.
func (s *peerSource) answerPart(_ context.Context, _ string, request newerRequest) (newerPartAnswer, error) {
	answer := newerPartAnswer{Rows: []rowRecord{}}
	offered, isOffered := s.copies[request.Table]
	if !isOffered {
		return answer, nil
	}
	answer.AgeMilliseconds = roundUp(offered.follower.Age())
	section, width, isKnown := offered.follower.Section()
	rows, version, isNewer := offered.replica.Since(table.Version(request.After))
	if !isKnown || offered.replica.Section() != section {
		return answer, nil // the section is being read again
	}
	answer.Version, answer.IsNewer, answer.Rows = int64(version), isNewer, rowRecords(rows)
	answer.IsPart, answer.From, answer.Before, answer.Width = section.IsPart, section.From, section.Before, width
	return answer, nil
}

// NewerPart implements table.Peers.
func (s *peerSource) NewerPart(ctx context.Context, query table.PeerQuery) (table.PeerCopy, bool) {
	return askNewest(ctx, peersToAsk(s.node), query, func(ctx context.Context, address string, after table.Version) (table.PeerCopy, error) {
		request := newerRequest{Table: query.Table, After: int64(after)}
		answer, err := peer.Call[newerRequest, newerPartAnswer](ctx, s.transport, address, methodNewerPart, request)
		return table.PeerCopy{
			Daemon: address, Rows: tableRows(answer.Rows), IsNewer: answer.IsNewer, Version: table.Version(answer.Version),
			Section: table.Section{IsPart: answer.IsPart, From: answer.From, Before: answer.Before}, Width: answer.Width,
			Age: time.Duration(answer.AgeMilliseconds) * time.Millisecond,
		}, err
	})
}

// Newer implements table.Peers.
func (s *peerSource) Newer(ctx context.Context, query table.PeerQuery) (table.PeerCopy, bool) {
	return askNewest(ctx, peersToAsk(s.node), query, func(ctx context.Context, address string, after table.Version) (table.PeerCopy, error) {
		request := newerRequest{Table: query.Table, After: int64(after)}
		answer, err := peer.Call[newerRequest, newerAnswer](ctx, s.transport, address, methodNewer, request)
		return table.PeerCopy{
			Daemon: address, Rows: tableRows(answer.Rows), IsNewer: answer.IsNewer, Version: table.Version(answer.Version),
			Age: time.Duration(answer.AgeMilliseconds) * time.Millisecond,
		}, err
	})
}

// peersToAsk returns the other live daemons: by turns one of the own zone, whose rows are cheaper
// to send, and one of another, which may not share the zone's troubles; suspected ones last.
func peersToAsk(node *cluster.Node) []membership.Member {
	near, far, suspected := shuffledPeers(node)
	return append(alternate(near, far), suspected...)
}

// shuffledPeers returns the other live daemons in random order: those of the own zone, those of
// others, and the suspected ones of all.
func shuffledPeers(node *cluster.Node) (near, far, suspected []membership.Member) {
	self := node.Self()
	for _, member := range node.Members() {
		switch {
		case member.Name == self.Name:
		case member.State != membership.StateAlive:
			suspected = append(suspected, member)
		case member.Zone == self.Zone:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	for _, group := range [][]membership.Member{near, far, suspected} {
		rand.Shuffle(len(group), func(a, b int) { group[a], group[b] = group[b], group[a] })
	}
	return near, far, suspected
}

// alternate merges two lists by turns.
func alternate(one, other []membership.Member) []membership.Member {
	merged := make([]membership.Member, 0, len(one)+len(other))
	for index := range max(len(one), len(other)) {
		if index < len(one) {
			merged = append(merged, one[index])
		}
		if index < len(other) {
			merged = append(merged, other[index])
		}
	}
	return merged
}
