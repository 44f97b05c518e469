package exchange

import (
	"maps"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/backend"
	"topazpulley/internal/slotqueue"
)

// loadSet holds the requests in flight and the queues of one or several daemons.
type loadSet struct {
	// inFlight holds the requests in flight by backend id.
	inFlight map[string]backend.PeerLoad
	// waiting is the number of batch items that wait for a backend.
	waiting int
	// queueStats holds the queue statistics of online requests by service.
	queueStats map[string]slotqueue.Stats
}

// add adds other to l.
func (l *loadSet) add(other loadSet) {
	l.waiting += other.waiting
	l.queueStats = addQueueStats(l.queueStats, other.queueStats)
	for id, load := range other.inFlight {
		l.inFlight[id] = l.inFlight[id].Plus(load)
	}
}

// without returns the loads minus part.
func (l loadSet) without(part loadSet) loadSet {
	rest := loadSet{inFlight: make(map[string]backend.PeerLoad, len(l.inFlight)), waiting: l.waiting - part.waiting, queueStats: queueStatsWithout(l.queueStats, part.queueStats)}
	for id, sum := range l.inFlight {
		rest.inFlight[id] = sum.Minus(part.inFlight[id])
	}
	return rest
}

func (l loadSet) isEmpty() bool {
	return len(l.inFlight) == 0 && l.waiting == 0 && len(l.queueStats) == 0
}

// equal reports whether both loads are the same.
func (l loadSet) equal(other loadSet) bool {
	return l.waiting == other.waiting && maps.Equal(l.inFlight, other.inFlight) && maps.Equal(l.queueStats, other.queueStats)
}

// eventSet holds events that are sent once: large prompt parts that were sent to
// backends, and failures of backends.
type eventSet struct {
	reads    []backend.PromptRead
	failures map[backend.Incarnation]int
}

func (s eventSet) isEmpty() bool { return len(s.reads) == 0 && len(s.failures) == 0 }

// add adds the events of other. Reads beyond maxReads are dropped; then a prompt part may
// be processed at more backends than needed.
func (s *eventSet) add(other eventSet) {
	free := max(maxReads-len(s.reads), 0)
	s.reads = append(s.reads, other.reads[:min(free, len(other.reads))]...)
	for incarnation, count := range other.failures {
		if s.failures == nil {
			s.failures = map[backend.Incarnation]int{}
		}
		s.failures[incarnation] += count
	}
}

// maxReads is the maximum number of reads in one message.
const maxReads = 256

// loadMessage is the encoded form of loads and events.
type loadMessage struct {
	Backends   []backendLoad      `avro:"backends"`
	Reads      []readRecord       `avro:"reads"`
	Failures   []failureRecord    `avro:"failures"`
	Waiting    int                `avro:"waiting"`
	QueueStats []queueStatsRecord `avro:"sums"`
}

type failureRecord struct {
	Backend     string `avro:"backend"`
	StartMillis int64  `avro:"born"`
	Count       int    `avro:"count"`
}

type readRecord struct {
	Backend     string `avro:"backend"`
	StartMillis int64  `avro:"born"`
	Part        string `avro:"part"`
}

type backendLoad struct {
	ID          string `avro:"id"`
	StartMillis int64  `avro:"born"`
	Online      int    `avro:"online"`
	Batch       int    `avro:"batch"`
	Pending     int    `avro:"pending"`
}

var loadSchema = avrocodec.MustParse(`{"type":"record","name":"load","fields":[{"name":"backends","type":{"type":"array","items":{
	"type":"record","name":"backend","fields":[{"name":"id","type":"string"},{"name":"born","type":"long"},{"name":"online","type":"int"},
	{"name":"batch","type":"int"},{"name":"pending","type":"int"}]}}},
	{"name":"reads","type":{"type":"array","items":{"type":"record","name":"read","fields":[
	{"name":"backend","type":"string"},{"name":"born","type":"long"},{"name":"part","type":"string"}]}},"default":[]},
	{"name":"failures","type":{"type":"array","items":{"type":"record","name":"failure","fields":[
	{"name":"backend","type":"string"},{"name":"born","type":"long"},{"name":"count","type":"int"}]}},"default":[]},
	{"name":"waiting","type":"int","default":0},
	{"name":"sums","type":{"type":"array","items":{"type":"record","name":"sums","fields":[
	{"name":"service","type":"string"},{"name":"in_time","type":"int"},{"name":"late","type":"int"},
	{"name":"freed","type":"int"}]}},"default":[]}]}`)

func encode(loads loadSet, events eventSet) ([]byte, error) {
	message := loadMessage{Backends: make([]backendLoad, 0, len(loads.inFlight)), Reads: []readRecord{}, Failures: []failureRecord{}, Waiting: loads.waiting, QueueStats: queueStatsRecords(loads.queueStats)}
	for id, load := range loads.inFlight {
		if load.IsIdle() {
			continue
		}
		message.Backends = append(message.Backends, backendLoad{ID: id, StartMillis: load.StartMillis, Online: load.Online, Batch: load.Batch, Pending: load.PendingTokens})
	}
	for _, read := range events.reads {
		message.Reads = append(message.Reads, readRecord{Backend: read.Incarnation.ID, StartMillis: read.Incarnation.StartMillis, Part: read.Part})
	}
	for incarnation, count := range events.failures {
		message.Failures = append(message.Failures, failureRecord{Backend: incarnation.ID, StartMillis: incarnation.StartMillis, Count: count})
	}
	payload, err := avro.Marshal(loadSchema, message)
	return payload, errors.WithStack(err)
}

func decode(payload []byte) (loadSet, eventSet, error) {
	var message loadMessage
	if err := avrocodec.Unmarshal(loadSchema, payload, &message); err != nil {
		return loadSet{}, eventSet{}, errors.WithStack(err)
	}
	loads := loadSet{inFlight: make(map[string]backend.PeerLoad, len(message.Backends)), waiting: message.Waiting, queueStats: queueStatsOf(message.QueueStats)}
	for _, each := range message.Backends {
		loads.inFlight[each.ID] = backend.PeerLoad{StartMillis: each.StartMillis, Online: each.Online, Batch: each.Batch, PendingTokens: each.Pending}
	}
	events := eventSet{reads: make([]backend.PromptRead, 0, len(message.Reads)), failures: make(map[backend.Incarnation]int, len(message.Failures))}
	for _, each := range message.Reads {
		events.reads = append(events.reads, backend.PromptRead{Incarnation: backend.Incarnation{ID: each.Backend, StartMillis: each.StartMillis}, Part: each.Part})
	}
	for _, each := range message.Failures {
		events.failures[backend.Incarnation{ID: each.Backend, StartMillis: each.StartMillis}] += each.Count
	}
	return loads, events, nil
}
