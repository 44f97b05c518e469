package job

import (
	"context"
	"sync/atomic"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

const (
	maxReadAttempts = 3
	maxPageResults  = 40
	// maxPageBytes limits the text of one page. A single longer result is still returned.
	maxPageBytes = 900 << 10
)

// Results returns the results that start at position from, up to the size of a page. If
// there are none yet, it waits up to the duration wait and reads once more.
func (s *Service) Results(ctx context.Context, id string, from int, wait time.Duration) (Page, error) {
	accepted, err := s.acceptance(ctx, id)
	if err != nil {
		return Page{}, err
	}
	page := Page{Total: accepted.Total}
	if page.Results, err = s.results(ctx, id, from); err != nil {
		return page, err
	}
	if len(page.Results) > 0 || wait <= 0 || from >= accepted.Total {
		return page, nil
	}
	if !s.awaitResults(ctx, id, wait) {
		return page, nil
	}
	page.Results, err = s.results(ctx, id, from)
	return page, err
}

// awaitResults waits until the job may have new results. If this daemon owns the job,
// it returns at the next commit; otherwise it waits for the full duration. It returns
// false if ctx ends first.
func (s *Service) awaitResults(ctx context.Context, id string, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-s.nextCommit(id):
	}
	return true
}

// nextCommit returns a channel that is closed at the next commit of an owned job, or
// nil if this daemon does not own the job.
func (s *Service) nextCommit(id string) <-chan struct{} {
	s.mutex.Lock()
	owned := s.owned[id]
	s.mutex.Unlock()
	if owned == nil {
		return nil
	}
	return owned.nextCommit()
}

// acceptance returns a job's acceptance row. The row never changes, so it is cached.
func (s *Service) acceptance(ctx context.Context, id string) (acceptance, error) {
	s.mutex.Lock()
	known, found := s.accepted[id]
	s.mutex.Unlock()
	if found {
		return known, nil
	}
	rows, err := s.read(ctx, table.Range{Table: tableAccepted, Partition: shard(id), From: id, Before: id + "\x00", Limit: 1})
	if err != nil {
		return acceptance{}, err
	}
	if len(rows) == 0 || rows[0].Key != id {
		return acceptance{}, notFound(id)
	}
	var read acceptance
	if err := decode(rows[0], &read); err != nil {
		return acceptance{}, err
	}
	s.mutex.Lock()
	s.accepted[id] = read
	s.mutex.Unlock()
	return read, nil
}

// isAcceptanceKnown reports whether the job is known to exist, regardless of its
// tenant.
func (s *Service) isAcceptanceKnown(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, isKnown := s.accepted[id]
	return isKnown
}

func (s *Service) results(ctx context.Context, id string, from int) ([]Result, error) {
	rows, err := s.resultRows(ctx, id, from)
	if err != nil {
		return nil, err
	}
	results := []Result{}
	size := 0
	for _, row := range rows {
		result, err := s.result(ctx, row)
		if err != nil {
			return nil, err
		}
		size += len(result.Text)
		if size > maxPageBytes && len(results) > 0 {
			break
		}
		results = append(results, result)
	}
	return results, nil
}

// resultRows reads rows of results. It reads fewer after a read that timed out, because
// the link may be slow, and more again after successful reads.
func (s *Service) resultRows(ctx context.Context, id string, from int) ([]table.Row, error) {
	var page table.Page
	err := s.retryRead(ctx, attemptTimeout, func(bounded context.Context) (err error) {
		limit := s.pageLimit.current()
		page, err = s.store.Read(bounded, table.Range{
			Table: tableResult, Partition: shard(id), From: numberedKey(id, from), Before: numberedEnd(id), Limit: limit,
		})
		s.pageLimit.adjust(limit, err)
		return err
	})
	return page.Rows, err
}

// pageLimit is the number of results to read in one call. The zero value is
// maxPageResults. It is safe for concurrent use.
type pageLimit struct {
	// reduction is subtracted from maxPageResults.
	reduction atomic.Int64
}

func (l *pageLimit) current() int { return maxPageResults - int(l.reduction.Load()) }

// adjust halves the limit after a call that timed out and doubles it after a success.
func (l *pageLimit) adjust(limit int, err error) {
	next := min(limit*2, maxPageResults)
	if err != nil {
		if !isUnknown(err) {
			return
		}
		next = max(limit/2, 1)
	}
	l.reduction.Store(int64(maxPageResults - next))
}

func (s *Service) result(ctx context.Context, row table.Row) (Result, error) {
	var stored resultRow
	if err := decode(row, &stored); err != nil {
		return Result{}, err
	}
	result := Result{Item: stored.Item, State: stored.State, Text: stored.Text}
	if stored.Object == "" {
		return result, nil
	}
	text, err := s.getObject(ctx, stored.Object)
	result.Text = string(text)
	return result, err
}

// read reads a small number of rows, with retries.
func (s *Service) read(ctx context.Context, wanted table.Range) ([]table.Row, error) {
	return s.readFor(ctx, attemptTimeout, wanted)
}

// readContent reads rows whose total size may reach that of a job's content, with
// retries.
func (s *Service) readContent(ctx context.Context, wanted table.Range) ([]table.Row, error) {
	return s.readFor(ctx, timeoutFor(maxContentBytes), wanted)
}

func (s *Service) readFor(ctx context.Context, attempt time.Duration, wanted table.Range) ([]table.Row, error) {
	page, err := s.readPage(ctx, attempt, wanted)
	return page.Rows, err
}

// readPage reads one page, with retries that are bounded by attempt each.
func (s *Service) readPage(ctx context.Context, attempt time.Duration, wanted table.Range) (page table.Page, err error) {
	err = s.retryRead(ctx, attempt, func(bounded context.Context) (err error) {
		page, err = s.store.Read(bounded, wanted)
		return err
	})
	return page, err
}

func (s *Service) getObject(ctx context.Context, name string) ([]byte, error) {
	var content []byte
	err := s.retryRead(ctx, timeoutFor(maxContentBytes), func(bounded context.Context) (err error) {
		content, err = s.store.GetObject(bounded, name)
		return err
	})
	return content, err
}

// retryRead calls a read up to maxReadAttempts times, each bounded by attempt.
func (s *Service) retryRead(ctx context.Context, attempt time.Duration, call func(context.Context) error) error {
	var err error
	for range maxReadAttempts {
		bounded, cancel := context.WithTimeout(ctx, attempt)
		err = call(bounded)
		cancel()
		if err == nil {
			return nil
		}
		if !periodic.SleepAbout(ctx, retryPause) {
			break
		}
	}
	return unavailable(err)
}

// Body returns the body of an item.
func (s *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	accepted, err := s.acceptance(ctx, id)
	if err != nil {
		return nil, err
	}
	loaded, err := s.load(ctx, id, accepted)
	if isMissing(err) && !s.isOpen(id) {
		return nil, failure.Wrap(err, failure.KindNotFound, "job_over", "job %s is over and its items are not kept", id)
	}
	if err != nil {
		return nil, err
	}
	for _, each := range loaded.Items {
		if each.ID == item {
			return each.Body, nil
		}
	}
	return nil, failure.New(failure.KindNotFound, "no_item", "job %s has no item %s", id, item)
}

// load reads a job's content.
func (s *Service) load(ctx context.Context, id string, accepted acceptance) (Job, error) {
	if accepted.Object != "" {
		content, err := s.getObject(ctx, accepted.Object)
		if err != nil {
			return Job{}, err
		}
		return decodeJob(content)
	}
	rows, err := s.readContent(ctx, table.Range{Table: tableContent, Partition: shard(id), From: numberedKey(id, 0), Before: numberedEnd(id)})
	if err != nil {
		return Job{}, err
	}
	content := []byte{}
	for _, row := range rows {
		content = append(content, row.Value...)
	}
	return decodeJob(content)
}
