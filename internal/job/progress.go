package job

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/failure"
	"topazpulley/internal/periodic"
	"topazpulley/internal/serving"
	"topazpulley/internal/streamorigin"
	"topazpulley/internal/table"
)

// tableProgress holds checkpoints of items. A new owner resumes an item from its checkpoint
// and continues the count of its failures. Without the text, the item runs from its start.
const tableProgress = "item_progress"

const (
	checkpointInterval = time.Second
	// minCheckpointEvents is how many events an item must have produced since its last
	// checkpoint.
	minCheckpointEvents = 16
	// maxCheckpoints limits the rows of one transaction, and maxCheckpointText the text of
	// one row in bytes.
	maxCheckpoints    = 40
	maxCheckpointText = 40 << 10
	// maxEmptyAnswers is how many answers that state no end may bring no event, in succession,
	// before the item starts over.
	maxEmptyAnswers = 2
	// maxCommitText limits the text of one transaction in bytes, so that checkpoints don't
	// delay results on a slow link.
	maxCommitText = 128 << 10
	// maxTextBytes limits the text of an item: a longer object could not be read from the store.
	maxTextBytes = 16 << 20
)

func progressKey(id, item string) string { return id + "/" + item }

// progress is what the attempts at an item have produced. mutex guards the fields below it.
// lastEvent and savedEvent are the ids of the last event and of the last one in a checkpoint.
type progress struct {
	mutex      sync.Mutex
	content    []byte
	hasText    bool
	lastEvent  int64
	savedEvent int64
	isSaved    bool
	// began is where the first event came from; zero if there is none.
	began streamorigin.Origin
	// failures counts the attempts that a backend answered with an error, over all owners.
	// savedFailures is the count in the last checkpoint.
	failures      int
	savedFailures int
	// emptyAnswers counts the answers in succession that stated no end and brought no event.
	emptyAnswers int
}

// beginRun records that the events that follow are from a backend of this service and software
// version. It returns false if there are events, and not certainly from there.
func (p *progress) beginRun(at streamorigin.Origin) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.lastEvent == 0 {
		p.began = at
		return true
	}
	return at.Continues(p.began)
}

// isFrom reports whether the events are certainly from a service and software version.
func (p *progress) isFrom(at streamorigin.Origin) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return at.Continues(p.began)
}

// reset discards the events, but not the count of failures, and returns how many there were.
func (p *progress) reset() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	lost := p.lastEvent
	p.content, p.hasText, p.lastEvent, p.savedEvent, p.began = nil, false, 0, 0, streamorigin.Origin{}
	p.emptyAnswers = 0
	return lost
}

// hasRoom reports whether the text with one more event is within maxTextBytes.
func (p *progress) hasRoom(event serving.Event) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.content)+len(event.Data) < maxTextBytes
}

// add appends an event. It returns false if the event isn't the next one.
func (p *progress) add(event serving.Event) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if event.ID != p.lastEvent+1 {
		return false
	}
	p.lastEvent = event.ID
	p.emptyAnswers = 0
	if p.hasText {
		p.content = append(p.content, '\n')
	}
	p.hasText = true
	p.content = append(p.content, event.Data...)
	return true
}

// addFailure counts an attempt that a backend answered with an error.
func (p *progress) addFailure() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failures++
}

// addEmptyAnswer counts an answer that stated no end and brought no event. It reports whether the item
// should start over: its last event may be the last of all, so that nothing can follow.
func (p *progress) addEmptyAnswer() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.emptyAnswers++
	return p.lastEvent > 0 && p.emptyAnswers >= maxEmptyAnswers
}

func (p *progress) failureCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.failures
}

func (p *progress) lastID() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lastEvent
}

// origin returns where the first event came from; zero if there is none.
func (p *progress) origin() streamorigin.Origin {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.began
}

func (p *progress) text() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return string(p.content)
}

func (p *progress) clear() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.content = nil
}

// checkpoint is a copy of an item's progress.
type checkpoint struct {
	Failures int
	// LastEvent is 0 if there is no text.
	LastEvent int64
	Text      string
	// Began is the service and software version that the events are from.
	Began streamorigin.Origin
	// IsUnreadable is set if the row can't be read. The other fields are zero.
	IsUnreadable bool
}

// errBadCheckpoint means that a checkpoint has a count that no item can have.
var errBadCheckpoint = failure.New(failure.KindInvalid, "bad_checkpoint", "a count of the checkpoint is negative")

// checkpointRow is a checkpoint as stored. Builds that know no software versions write LastEvent
// and Text; an item with such a row runs from its start, since its version is unknown. Others
// store an encoded checkpointText as Text and 0 as LastEvent, so that those builds run the item
// from its start too.
type checkpointRow struct {
	LastEvent int64  `avro:"last_event"`
	Text      string `avro:"text"`
	Failures  int    `avro:"failures"`
}

// checkpointText is the events of a checkpoint and where they are from.
type checkpointText struct {
	Service   string `avro:"service"`
	Software  string `avro:"software"`
	LastEvent int64  `avro:"last_event"`
	Text      string `avro:"text"`
}

var (
	checkpointSchema = avrocodec.MustParse(`{"type":"record","name":"checkpoint","fields":[
	{"name":"last_event","type":"long"},{"name":"text","type":"string"},{"name":"failures","type":"int"}]}`)
	checkpointTextSchema = avrocodec.MustParse(`{"type":"record","name":"checkpoint_text","fields":[
	{"name":"service","type":"string"},{"name":"software","type":"string"},{"name":"last_event","type":"long"},{"name":"text","type":"string"}]}`)
)

func encodeCheckpoint(taken checkpoint) ([]byte, error) {
	row := checkpointRow{Failures: taken.Failures}
	if taken.LastEvent > 0 {
		text, err := avro.Marshal(checkpointTextSchema, checkpointText{Service: taken.Began.Service, Software: taken.Began.Software, LastEvent: taken.LastEvent, Text: taken.Text})
		if err != nil {
			return nil, errors.WithStack(err)
		}
		row.Text = string(text)
	}
	value, err := avro.Marshal(checkpointSchema, row)
	return value, errors.WithStack(err)
}

func decodeCheckpoint(value []byte) (checkpoint, error) {
	var row checkpointRow
	if err := avrocodec.Unmarshal(checkpointSchema, value, &row); err != nil {
		return checkpoint{}, err
	}
	if row.Failures < 0 {
		return checkpoint{}, errBadCheckpoint
	}
	read := checkpoint{Failures: row.Failures}
	if row.LastEvent > 0 || row.Text == "" {
		return read, nil
	}
	var content checkpointText
	if err := avrocodec.Unmarshal(checkpointTextSchema, []byte(row.Text), &content); err != nil {
		return checkpoint{}, err
	}
	read.Began = streamorigin.Origin{Service: content.Service, Software: content.Software}
	read.LastEvent, read.Text = content.LastEvent, content.Text
	if read.LastEvent < 0 {
		return checkpoint{}, errBadCheckpoint
	}
	return read, nil
}

func (p *progress) restore(from checkpoint) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failures, p.savedFailures = from.Failures, from.Failures
	p.isSaved = from != checkpoint{}
	if from.LastEvent == 0 || from.Began.Software == "" {
		return
	}
	p.content, p.hasText, p.began = []byte(from.Text), true, from.Began
	p.lastEvent, p.savedEvent = from.LastEvent, from.LastEvent
}

// due returns a checkpoint if there are at least this many events since the last one, or a
// new failure. A text that is too long for a row is omitted.
func (p *progress) due(events int64) (checkpoint, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	hasFailed := p.failures > p.savedFailures
	hasText := p.content != nil && len(p.content) <= maxCheckpointText && p.began.Software != ""
	hasNewEvents := hasText && p.lastEvent-p.savedEvent >= events
	if !hasFailed && !hasNewEvents {
		return checkpoint{}, false
	}
	taken := checkpoint{Failures: p.failures}
	if hasText {
		taken.LastEvent, taken.Text, taken.Began = p.lastEvent, string(p.content), p.began
	}
	return taken, true
}

// unsaved returns the number of events since the last checkpoint.
func (p *progress) unsaved() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lastEvent - p.savedEvent
}

// recordSaved records that a checkpoint may be in the store. Its content counts as saved only
// if isCertain: a commit without an answer may or may not have written the row.
func (p *progress) recordSaved(taken checkpoint, isCertain bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isSaved = true
	if isCertain {
		p.savedEvent, p.savedFailures = max(p.savedEvent, taken.LastEvent), max(p.savedFailures, taken.Failures)
	}
}

// saveCheckpoints writes checkpoints of all owned jobs until the context ends.
func (s *Service) saveCheckpoints(ctx context.Context) {
	periodic.Run(ctx, checkpointInterval, func() {
		s.mutex.Lock()
		jobs := s.ownedJobs()
		s.mutex.Unlock()
		for _, each := range jobs {
			each.saveProgress(ctx, minCheckpointEvents)
		}
	})
}

// saveProgress writes checkpoints of items with at least this many new events.
func (o *ownedJob) saveProgress(ctx context.Context, events int64) {
	transaction := table.Transaction{
		Partition:  shard(o.job.ID),
		Conditions: []table.Condition{{Table: tableClaim, Key: o.job.ID, Version: o.claim.version}},
	}
	saved := map[*ownedItem]checkpoint{}
	size := 0
	for _, each := range o.byUnsavedEvents() {
		taken, isDue := each.progress.due(events)
		if !isDue {
			continue
		}
		size += len(taken.Text)
		if len(saved) == maxCheckpoints || (size > maxCommitText && len(saved) > 0) {
			break
		}
		value, err := encodeCheckpoint(taken)
		if err != nil {
			o.service.log.Error("checkpoint_not_encoded", "job", o.job.ID, "item", each.item.ID, "error", err)
			continue
		}
		transaction.Writes = append(transaction.Writes, table.Write{Table: tableProgress, Key: progressKey(o.job.ID, each.item.ID), Value: value})
		saved[each] = taken
	}
	if len(saved) == 0 {
		return
	}
	for each, taken := range saved {
		each.progress.recordSaved(taken, false)
	}
	if _, err := o.service.commit(ctx, transaction); err != nil {
		o.service.log.Info("checkpoint_failed", "job", o.job.ID, "items", len(saved), "error", err)
		return
	}
	for each, taken := range saved {
		each.progress.recordSaved(taken, true)
	}
}

func (o *ownedJob) unfinished() []*ownedItem {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	found := []*ownedItem{}
	for _, each := range o.items {
		if each.state != itemFinished {
			found = append(found, each)
		}
	}
	return found
}

// byUnsavedEvents returns the unfinished items, those with the most events since their last
// checkpoint first.
func (o *ownedJob) byUnsavedEvents() []*ownedItem {
	found := o.unfinished()
	unsaved := make(map[*ownedItem]int64, len(found))
	for _, each := range found {
		unsaved[each] = each.progress.unsaved()
	}
	slices.SortStableFunc(found, func(a, b *ownedItem) int { return cmp.Compare(unsaved[b], unsaved[a]) })
	return found
}

// hasCheckpoint reports whether a row of the item's progress may exist.
func (o *ownedJob) hasCheckpoint(item string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, each := range o.items {
		if each.item.ID == item {
			each.progress.mutex.Lock()
			defer each.progress.mutex.Unlock()
			return each.progress.isSaved
		}
	}
	return false
}

// checkpoints reads the checkpoints of a job's items, by item. An item whose checkpoint can't be
// read runs from its start.
func (s *Service) checkpoints(ctx context.Context, id string) (map[string]checkpoint, error) {
	found := map[string]checkpoint{}
	wanted := table.Range{Table: tableProgress, Partition: shard(id), From: progressKey(id, ""), Before: numberedEnd(id)}
	unreadable := 0
	for {
		page, err := s.readPage(ctx, timeoutFor(maxContentBytes), wanted)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			read, err := decodeCheckpoint(row.Value)
			if err != nil {
				unreadable++
				read = checkpoint{IsUnreadable: true}
			}
			found[strings.TrimPrefix(row.Key, progressKey(id, ""))] = read
		}
		next, more, err := page.Next(wanted.From)
		if err != nil {
			return nil, unavailable(err)
		}
		if !more {
			break
		}
		wanted.From = next
	}
	if unreadable > 0 {
		s.log.Warn("checkpoints_unreadable", "job", id, "checkpoints", len(found), "unreadable", unreadable)
	}
	return found, nil
}
