package batch

import (
	"sort"
	"time"
)

// holding is a chunk that a worker has been given.
type holding struct {
	worker string
	// reportedAt is when the worker last mentioned the chunk.
	reportedAt time.Time
}

// trackedJob is what a shard's coordinator knows of an open job.
type trackedJob struct {
	job      Job
	done     map[int]bool
	assigned map[int]holding
}

// Shard is the coordinator's state for one job shard: which chunks wait, which
// are assigned to whom and which are done. It is soft state, rebuilt from the
// table by the next coordinator; it is pure and not safe for concurrent use.
type Shard struct {
	queue *Queue
	jobs  map[string]*trackedJob
	// AssignmentTimeout is how long a chunk may go unmentioned before it is
	// handed to another worker.
	AssignmentTimeout time.Duration
}

const defaultAssignmentTimeout = 10 * time.Second

// NewShard returns an empty shard.
func NewShard() *Shard {
	return &Shard{queue: NewQueue(), jobs: map[string]*trackedJob{}, AssignmentTimeout: defaultAssignmentTimeout}
}

// Knows reports whether the job is tracked.
func (s *Shard) Knows(job string) bool {
	_, known := s.jobs[job]
	return known
}

// JobIDs returns the tracked jobs in order.
func (s *Shard) JobIDs() []string {
	ids := make([]string, 0, len(s.jobs))
	for id := range s.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// AddJob tracks a running job with the chunks that were ever claimed. A chunk
// that has a live owner is left to it for the assignment timeout; the owner's
// reports then keep it.
func (s *Shard) AddJob(job Job, weight int, claimed []Chunk, isLive func(worker string) bool, now time.Time) {
	tracked := &trackedJob{job: job, done: map[int]bool{}, assigned: map[int]holding{}}
	for _, chunk := range claimed {
		switch {
		case chunk.Done:
			tracked.done[chunk.Number] = true
		case isLive(chunk.Owner):
			tracked.assigned[chunk.Number] = holding{worker: chunk.Owner, reportedAt: now}
		}
	}
	waiting := []int{}
	for number := range job.Chunks {
		_, isAssigned := tracked.assigned[number]
		if !tracked.done[number] && !isAssigned {
			waiting = append(waiting, number)
		}
	}
	s.jobs[job.ID] = tracked
	s.queue.Add(job, weight, waiting)
}

// RemoveJob forgets a job that has ended.
func (s *Shard) RemoveJob(job string) {
	delete(s.jobs, job)
	s.queue.Remove(job)
}

// Assign hands out up to count chunks of a service to a worker.
func (s *Shard) Assign(worker, service string, count int, now time.Time) []Assignment {
	assignments := []Assignment{}
	for len(assignments) < count {
		assignment, found := s.queue.Next(service, now)
		if !found {
			break
		}
		s.jobs[assignment.Job].assigned[assignment.Chunk] = holding{worker: worker, reportedAt: now}
		assignments = append(assignments, assignment)
	}
	return assignments
}

// Report records what a worker says of a chunk. It returns false when the job
// is not tracked, which means that it has ended.
func (s *Shard) Report(worker string, message AssignmentMessage, now time.Time) bool {
	tracked, known := s.jobs[message.Job]
	if !known {
		return false
	}
	held, isAssigned := tracked.assigned[message.Chunk]
	isHolder := isAssigned && held.worker == worker
	switch {
	case tracked.done[message.Chunk]:
	case message.Done:
		tracked.done[message.Chunk] = true
		delete(tracked.assigned, message.Chunk)
	case message.Released && isHolder:
		delete(tracked.assigned, message.Chunk)
		s.queue.Return(Assignment{Job: message.Job, Chunk: message.Chunk})
	case isHolder:
		tracked.assigned[message.Chunk] = holding{worker: worker, reportedAt: now}
	}
	return true
}

// Reclaim puts back the chunks whose workers are gone or silent and returns
// how many there were.
func (s *Shard) Reclaim(isLive func(worker string) bool, now time.Time) int {
	count := 0
	for _, id := range s.JobIDs() {
		tracked := s.jobs[id]
		for chunk, held := range tracked.assigned {
			if isLive(held.worker) && now.Sub(held.reportedAt) < s.AssignmentTimeout {
				continue
			}
			delete(tracked.assigned, chunk)
			s.queue.Return(Assignment{Job: id, Chunk: chunk})
			count++
		}
	}
	return count
}

// Finished returns the jobs all of whose chunks are done.
func (s *Shard) Finished() []string {
	finished := []string{}
	for _, id := range s.JobIDs() {
		if len(s.jobs[id].done) == s.jobs[id].job.Chunks {
			finished = append(finished, id)
		}
	}
	return finished
}

// Backlog returns the number of waiting chunks by service.
func (s *Shard) Backlog() map[string]int { return s.queue.Backlog() }
