package exchange

import (
	"maps"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/backend"
	"topazpulley/internal/slotqueue"
)

// loads is what daemons have in flight and what waits at them.
type loads struct {
	// inFlight is by backend.
	inFlight map[string]backend.PeerLoad
	// waiting is the number of batch items that wait for a backend.
	waiting int
	// queueStats is what online requests wait for, by service.
	queueStats map[string]slotqueue.Stats
}

// add counts further work.
func (l *loads) add(other loads) {
	l.waiting += other.waiting
	l.queueStats = addQueueStats(l.queueStats, other.queueStats)
	for id, load := range other.inFlight {
		l.inFlight[id] = l.inFlight[id].Plus(load)
	}
}

// without returns the work less a part of it.
func (l loads) without(part loads) loads {
	left := loads{inFlight: make(map[string]backend.PeerLoad, len(l.inFlight)), waiting: l.waiting - part.waiting, queueStats: queueStatsWithout(l.queueStats, part.queueStats)}
	for id, sum := range l.inFlight {
		left.inFlight[id] = sum.Minus(part.inFlight[id])
	}
	return left
}

func (l loads) isEmpty() bool {
	return len(l.inFlight) == 0 && l.waiting == 0 && len(l.queueStats) == 0
}

// equal reports whether both hold the same work.
func (l loads) equal(other loads) bool {
	return l.waiting == other.waiting && maps.Equal(l.inFlight, other.inFlight) && maps.Equal(l.queueStats, other.queueStats)
}

// news is what is told once: large prompt parts that were sent, and failures
// of backends.
type news struct {
	reads    []backend.PromptRead
	failures map[backend.Incarnation]int
}

func (n news) isEmpty() bool { return len(n.reads) == 0 && len(n.failures) == 0 }

// add appends further news; beyond newsLimit reads the rest is dropped, which
// costs a prompt read twice at worst.
func (n *news) add(other news) {
	room := max(newsLimit-len(n.reads), 0)
	n.reads = append(n.reads, other.reads[:min(room, len(other.reads))]...)
	for life, count := range other.failures {
		if n.failures == nil {
			n.failures = map[backend.Incarnation]int{}
		}
		n.failures[life] += count
	}
}

// newsLimit bounds the reads in one message.
const newsLimit = 256

// loadMessage carries loads and news between daemons.
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

func encode(work loads, told news) ([]byte, error) {
	message := loadMessage{Backends: make([]backendLoad, 0, len(work.inFlight)), Reads: []readRecord{}, Failures: []failureRecord{}, Waiting: work.waiting, QueueStats: queueStatsRecords(work.queueStats)}
	for id, load := range work.inFlight {
		if load.IsIdle() {
			continue
		}
		message.Backends = append(message.Backends, backendLoad{ID: id, StartMillis: load.StartMillis, Online: load.Online, Batch: load.Batch, Pending: load.PendingTokens})
	}
	for _, read := range told.reads {
		message.Reads = append(message.Reads, readRecord{Backend: read.Incarnation.ID, StartMillis: read.Incarnation.StartMillis, Part: read.Part})
	}
	for life, count := range told.failures {
		message.Failures = append(message.Failures, failureRecord{Backend: life.ID, StartMillis: life.StartMillis, Count: count})
	}
	payload, err := avro.Marshal(loadSchema, message)
	return payload, errors.WithStack(err)
}

func decode(payload []byte) (loads, news, error) {
	var message loadMessage
	if err := avrocodec.Unmarshal(loadSchema, payload, &message); err != nil {
		return loads{}, news{}, errors.WithStack(err)
	}
	work := loads{inFlight: make(map[string]backend.PeerLoad, len(message.Backends)), waiting: message.Waiting, queueStats: queueStatsOf(message.QueueStats)}
	for _, each := range message.Backends {
		work.inFlight[each.ID] = backend.PeerLoad{StartMillis: each.StartMillis, Online: each.Online, Batch: each.Batch, PendingTokens: each.Pending}
	}
	told := news{reads: make([]backend.PromptRead, 0, len(message.Reads)), failures: make(map[backend.Incarnation]int, len(message.Failures))}
	for _, each := range message.Reads {
		told.reads = append(told.reads, backend.PromptRead{Incarnation: backend.Incarnation{ID: each.Backend, StartMillis: each.StartMillis}, Part: each.Part})
	}
	for _, each := range message.Failures {
		told.failures[backend.Incarnation{ID: each.Backend, StartMillis: each.StartMillis}] += each.Count
	}
	return work, told, nil
}
