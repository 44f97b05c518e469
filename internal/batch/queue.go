package batch

import (
	"sort"
	"time"
)

// Assignment names one chunk of one job.
type Assignment struct {
	Job   string
	Chunk int
}

// Queue chooses which chunk runs next: weighted fair share among tenants, and
// earliest deadline first within a tenant and for jobs whose slack has run
// short. It is pure and not safe for concurrent use.
type Queue struct {
	jobs    map[string]*queuedJob
	virtual map[string]float64
	// UrgentSlack is the time before its deadline at which a job goes first.
	UrgentSlack time.Duration
}

// queuedJob is the part of a job that still waits to be handed out.
type queuedJob struct {
	job      Job
	weight   int
	waiting  []int
	returned []int
}

const defaultUrgentSlack = 10 * time.Minute

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{jobs: map[string]*queuedJob{}, virtual: map[string]float64{}, UrgentSlack: defaultUrgentSlack}
}

// Add offers a job's waiting chunks. A tenant that had nothing queued starts
// level with the least served one, so that it neither starves others nor
// is punished for idleness.
func (q *Queue) Add(job Job, weight int, waiting []int) {
	if !q.hasTenant(job.Tenant) {
		q.virtual[job.Tenant] = max(q.virtual[job.Tenant], q.leastVirtual())
	}
	q.jobs[job.ID] = &queuedJob{job: job, weight: max(weight, 1), waiting: waiting}
}

func (q *Queue) hasTenant(tenant string) bool {
	for _, queued := range q.jobs {
		if queued.job.Tenant == tenant {
			return true
		}
	}
	return false
}

func (q *Queue) leastVirtual() float64 {
	least, first := 0.0, true
	for _, queued := range q.jobs {
		served := q.virtual[queued.job.Tenant]
		if first || served < least {
			least, first = served, false
		}
	}
	return least
}

// Remove forgets a job.
func (q *Queue) Remove(job string) { delete(q.jobs, job) }

// Return puts a chunk back, to be handed out before new ones.
func (q *Queue) Return(assignment Assignment) {
	if queued, known := q.jobs[assignment.Job]; known {
		queued.returned = append(queued.returned, assignment.Chunk)
	}
}

// Next takes the next chunk of a service.
func (q *Queue) Next(service string, now time.Time) (Assignment, bool) {
	var chosen *queuedJob
	for _, id := range q.sortedIDs() {
		candidate := q.jobs[id]
		if candidate.job.Service != service || candidate.backlog() == 0 {
			continue
		}
		if chosen == nil || q.before(candidate, chosen, now) {
			chosen = candidate
		}
	}
	if chosen == nil {
		return Assignment{}, false
	}
	chunk := chosen.take()
	q.virtual[chosen.job.Tenant] += float64(chosen.job.ChunkItems(chunk)) / float64(chosen.weight)
	return Assignment{Job: chosen.job.ID, Chunk: chunk}, true
}

func (q *Queue) sortedIDs() []string {
	ids := make([]string, 0, len(q.jobs))
	for id := range q.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// before reports whether a goes before b.
func (q *Queue) before(a, b *queuedJob, now time.Time) bool {
	aUrgent, bUrgent := q.isUrgent(a, now), q.isUrgent(b, now)
	if aUrgent != bUrgent {
		return aUrgent
	}
	if !aUrgent && a.job.Tenant != b.job.Tenant {
		aServed, bServed := q.virtual[a.job.Tenant], q.virtual[b.job.Tenant]
		if aServed != bServed {
			return aServed < bServed
		}
	}
	return a.job.Deadline < b.job.Deadline
}

func (q *Queue) isUrgent(queued *queuedJob, now time.Time) bool {
	return queued.job.Deadline-now.UnixMilli() < q.UrgentSlack.Milliseconds()
}

// Backlog returns the number of waiting chunks by service.
func (q *Queue) Backlog() map[string]int {
	backlog := map[string]int{}
	for _, queued := range q.jobs {
		if count := queued.backlog(); count > 0 {
			backlog[queued.job.Service] += count
		}
	}
	return backlog
}

func (j *queuedJob) backlog() int { return len(j.waiting) + len(j.returned) }

func (j *queuedJob) take() int {
	if len(j.returned) > 0 {
		chunk := j.returned[0]
		j.returned = j.returned[1:]
		return chunk
	}
	chunk := j.waiting[0]
	j.waiting = j.waiting[1:]
	return chunk
}
