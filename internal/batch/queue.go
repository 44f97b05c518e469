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

// Queue selects the next chunk to run. Tenants get weighted fair shares. Within a
// tenant, and among urgent jobs, the earliest deadline goes first. Queue does no
// I/O and is not safe for concurrent use.
type Queue struct {
	jobs map[string]*queuedJob
	// virtualTime is each tenant's virtual time: items assigned divided by weight.
	virtualTime map[string]float64
	// UrgentSlack is the time before its deadline from which a job is urgent and
	// goes before jobs that are not.
	UrgentSlack time.Duration
}

// queuedJob is a job with its unassigned chunks: those never assigned and those
// returned.
type queuedJob struct {
	job      Job
	weight   int
	waiting  []int
	returned []int
}

const defaultUrgentSlack = 10 * time.Minute

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{jobs: map[string]*queuedJob{}, virtualTime: map[string]float64{}, UrgentSlack: defaultUrgentSlack}
}

// Add adds a job with its waiting chunks. The virtual time of a tenant without
// queued jobs is raised to the minimum of the others, so that the tenant gains
// no priority by having been idle.
func (q *Queue) Add(job Job, weight int, waiting []int) {
	if !q.hasTenant(job.Tenant) {
		q.virtualTime[job.Tenant] = max(q.virtualTime[job.Tenant], q.minVirtualTime())
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

func (q *Queue) minVirtualTime() float64 {
	least, first := 0.0, true
	for _, queued := range q.jobs {
		served := q.virtualTime[queued.job.Tenant]
		if first || served < least {
			least, first = served, false
		}
	}
	return least
}

// Remove removes a job.
func (q *Queue) Remove(job string) { delete(q.jobs, job) }

// Return puts an assigned chunk back. Returned chunks go before the job's other
// chunks.
func (q *Queue) Return(assignment Assignment) {
	if queued, known := q.jobs[assignment.Job]; known {
		queued.returned = append(queued.returned, assignment.Chunk)
	}
}

// Next removes and returns the next chunk of a service.
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
	q.virtualTime[chosen.job.Tenant] += float64(chosen.job.ChunkItems(chunk)) / float64(chosen.weight)
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
		aTime, bTime := q.virtualTime[a.job.Tenant], q.virtualTime[b.job.Tenant]
		if aTime != bTime {
			return aTime < bTime
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
