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
	"topazpulley/internal/table"
)

// tableProgress holds checkpoints of items, so that a new owner goes on where
// the last one stopped and counts on how often an item failed. Their text is a
// saving only: without it an item is run from its start.
const tableProgress = "item_progress"

const (
	checkpointInterval = time.Second
	// checkpointEvents is how many events an item must have made since its
	// last checkpoint.
	checkpointEvents = 16
	// checkpointItems bounds the rows of one transaction, and checkpointBytes the
	// text of one row.
	checkpointItems = 40
	checkpointBytes = 40 << 10
	// checkpointsBytes bounds the text of one transaction: checkpoints save work
	// and must not keep results waiting on a slow link.
	checkpointsBytes = 128 << 10
)

func progressKey(id, item string) string { return id + "/" + item }

// progress is what the attempts at an item have produced. mutex guards it.
type progress struct {
	mutex     sync.Mutex
	content   []byte
	hasText   bool
	lastEvent int64
	saved     int64
	isSaved   bool
	// failures counts the attempts that a backend answered with an error, of
	// all owners; savedFailures is the count in the last checkpoint.
	failures      int
	savedFailures int
}

// add appends an event and reports whether it is the next one.
func (p *progress) add(event serving.Event) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if event.ID != p.lastEvent+1 {
		return false
	}
	p.lastEvent = event.ID
	if p.hasText {
		p.content = append(p.content, '\n')
	}
	p.hasText = true
	p.content = append(p.content, event.Data...)
	return true
}

// fail counts an attempt that a backend answered with an error.
func (p *progress) fail() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failures++
}

func (p *progress) failed() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.failures
}

func (p *progress) last() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lastEvent
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
	LastEvent int64  `avro:"last_event"`
	Text      string `avro:"text"`
	Failures  int    `avro:"failures"`
}

var checkpointSchema = avrocodec.MustParse(`{"type":"record","name":"checkpoint","fields":[
	{"name":"last_event","type":"long"},{"name":"text","type":"string"},{"name":"failures","type":"int"}]}`)

func (p *progress) restore(from checkpoint) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failures, p.savedFailures = from.Failures, from.Failures
	p.isSaved = from != checkpoint{}
	if from.LastEvent == 0 {
		return
	}
	p.content, p.hasText = []byte(from.Text), true
	p.lastEvent, p.saved = from.LastEvent, from.LastEvent
}

// due returns a checkpoint if at least so many events came since the last one,
// or a failure. A text that is too long for a row is left out.
func (p *progress) due(events int64) (checkpoint, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	hasFailed := p.failures > p.savedFailures
	hasText := p.content != nil && len(p.content) <= checkpointBytes
	hasNews := hasText && p.lastEvent-p.saved >= events
	if !hasFailed && !hasNews {
		return checkpoint{}, false
	}
	taken := checkpoint{Failures: p.failures}
	if hasText {
		taken.LastEvent, taken.Text = p.lastEvent, string(p.content)
	}
	return taken, true
}

// unsaved returns how many events came since the last checkpoint.
func (p *progress) unsaved() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lastEvent - p.saved
}

// noteSaved records that a checkpoint may be in the store. What it holds is
// trusted only when isCertain: a lost answer may leave a row behind.
func (p *progress) noteSaved(taken checkpoint, isCertain bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isSaved = true
	if isCertain {
		p.saved, p.savedFailures = max(p.saved, taken.LastEvent), max(p.savedFailures, taken.Failures)
	}
}

// saveAll writes checkpoints of all owned jobs until the context ends.
func (s *Service) saveAll(ctx context.Context) {
	periodic.Run(ctx, checkpointInterval, func() {
		s.mutex.Lock()
		jobs := s.ownedJobs()
		s.mutex.Unlock()
		for _, each := range jobs {
			each.saveProgress(ctx, checkpointEvents)
		}
	})
}

// saveProgress writes checkpoints of items with at least so many new events.
func (o *ownedJob) saveProgress(ctx context.Context, events int64) {
	transaction := table.Transaction{
		Partition:  shard(o.job.ID),
		Conditions: []table.Condition{{Table: tableClaim, Key: o.job.ID, Version: o.claim.version}},
	}
	saved := map[*ownedItem]checkpoint{}
	size := 0
	for _, each := range o.longestUnsaved() {
		taken, isDue := each.progress.due(events)
		if !isDue {
			continue
		}
		size += len(taken.Text)
		if len(saved) == checkpointItems || (size > checkpointsBytes && len(saved) > 0) {
			break
		}
		value, err := avro.Marshal(checkpointSchema, taken)
		if err != nil {
			continue
		}
		transaction.Writes = append(transaction.Writes, table.Write{Table: tableProgress, Key: progressKey(o.job.ID, each.item.ID), Value: value})
		saved[each] = taken
	}
	if len(saved) == 0 {
		return
	}
	for each, taken := range saved {
		each.progress.noteSaved(taken, false)
	}
	if _, err := o.service.commit(ctx, transaction); err != nil {
		o.service.log.Info("checkpoint_failed", "job", o.job.ID, "items", len(saved), "error", err)
		return
	}
	for each, taken := range saved {
		each.progress.noteSaved(taken, true)
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

// longestUnsaved returns the unfinished items, those with the most events since
// their last checkpoint first.
func (o *ownedJob) longestUnsaved() []*ownedItem {
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

// checkpoints reads what earlier owners left of a job's items.
func (s *Service) checkpoints(ctx context.Context, id string) (map[string]checkpoint, error) {
	found := map[string]checkpoint{}
	from := progressKey(id, "")
	for {
		rows, err := s.readContent(ctx, table.Range{Table: tableProgress, Partition: shard(id), From: from, Before: numberedEnd(id)})
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var read checkpoint
			if err := avrocodec.Unmarshal(checkpointSchema, row.Value, &read); err != nil {
				return nil, failure.Wrap(errors.WithStack(err), failure.KindInternal, "bad_checkpoint", "row %s cannot be read", row.Key)
			}
			found[strings.TrimPrefix(row.Key, progressKey(id, ""))] = read
			from = row.Key + "\x00"
		}
		if len(rows) == 0 {
			return found, nil
		}
	}
}
