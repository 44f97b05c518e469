package batch

import (
	"sort"
	"time"
)

// chunkAssignment is the assignment of a chunk to a worker.
type chunkAssignment struct {
	worker string
	// reportedAt is when the worker last reported the chunk, or when it was
	// assigned.
	reportedAt time.Time
}

// trackedJob is the coordinator's state for an open job. done and assigned are
// keyed by chunk number.
type trackedJob struct {
	job      Job
	done     map[int]bool
	assigned map[int]chunkAssignment
}

// Shard is the coordinator's state for one job shard: the waiting, assigned and
// done chunks. It is not persisted; a new coordinator rebuilds it from the table.
// Shard does no I/O and is not safe for concurrent use.
type Shard struct {
	queue *Queue
	jobs  map[string]*trackedJob
	// AssignmentTimeout is the time without a report after which an assigned
	// chunk is reclaimed.
	AssignmentTimeout time.Duration
}

const defaultAssignmentTimeout = 10 * time.Second

// NewShard returns an empty shard.
func NewShard() *Shard {
	return &Shard{queue: NewQueue(), jobs: map[string]*trackedJob{}, AssignmentTimeout: defaultAssignmentTimeout}
}

// HasJob reports whether the job is tracked.
func (s *Shard) HasJob(job string) bool {
	_, known := s.jobs[job]
	return known
}

// JobIDs returns the ids of the tracked jobs, sorted.
func (s *Shard) JobIDs() []string {
	ids := make([]string, 0, len(s.jobs))
	for id := range s.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// AddJob tracks a running job. claimed are the job's chunks that were ever
// claimed. A chunk with a live owner counts as assigned to it, and is reclaimed
// if the owner does not report it within the assignment timeout.
func (s *Shard) AddJob(job Job, weight int, claimed []Chunk, isLive func(worker string) bool, now time.Time) {
	tracked := &trackedJob{job: job, done: map[int]bool{}, assigned: map[int]chunkAssignment{}}
	for _, chunk := range claimed {
		switch {
		case chunk.Done:
			tracked.done[chunk.Number] = true
		case isLive(chunk.Owner):
			tracked.assigned[chunk.Number] = chunkAssignment{worker: chunk.Owner, reportedAt: now}
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

// RemoveJob stops tracking a job.
func (s *Shard) RemoveJob(job string) {
	delete(s.jobs, job)
	s.queue.Remove(job)
}

// Assign assigns up to count chunks of a service to a worker.
func (s *Shard) Assign(worker, service string, count int, now time.Time) []Assignment {
	assignments := []Assignment{}
	for len(assignments) < count {
		assignment, found := s.queue.Next(service, now)
		if !found {
			break
		}
		s.jobs[assignment.Job].assigned[assignment.Chunk] = chunkAssignment{worker: worker, reportedAt: now}
		assignments = append(assignments, assignment)
	}
	return assignments
}

// Report records a worker's report of a chunk. It returns false if the job is
// not tracked: it has ended or is not loaded yet.
func (s *Shard) Report(worker string, message AssignmentMessage, now time.Time) bool {
	tracked, known := s.jobs[message.Job]
	if !known {
		return false
	}
	current, isAssigned := tracked.assigned[message.Chunk]
	isAssignee := isAssigned && current.worker == worker
	switch {
	case tracked.done[message.Chunk]:
	case message.Done:
		tracked.done[message.Chunk] = true
		delete(tracked.assigned, message.Chunk)
	case message.Released && isAssignee:
		delete(tracked.assigned, message.Chunk)
		s.queue.Return(Assignment{Job: message.Job, Chunk: message.Chunk})
	case isAssignee:
		tracked.assigned[message.Chunk] = chunkAssignment{worker: worker, reportedAt: now}
	}
	return true
}

// Reclaim returns to the queue the chunks whose workers are not live or have not
// reported within the assignment timeout, and returns their number.
func (s *Shard) Reclaim(isLive func(worker string) bool, now time.Time) int {
	count := 0
	for _, id := range s.JobIDs() {
		tracked := s.jobs[id]
		for chunk, current := range tracked.assigned {
			if isLive(current.worker) && now.Sub(current.reportedAt) < s.AssignmentTimeout {
				continue
			}
			delete(tracked.assigned, chunk)
			s.queue.Return(Assignment{Job: id, Chunk: chunk})
			count++
		}
	}
	return count
}

// Finished returns the ids of the jobs whose chunks are all done.
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
