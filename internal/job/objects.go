package job

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

// Objects hold the content of large jobs and the texts of long results. The name of an object is
// used once, for one attempt to store it, so that no row refers to an object of another attempt.
// It ends with the job's id.
const (
	contentPrefix = "content-"
	textPrefix    = "text-"
)

const (
	// objectSweepInterval is the time between two checks for objects whose job is over.
	objectSweepInterval = 10 * time.Second
	objectCallTimeout   = time.Second
	// orphanAge is how long the job of an object must not be open before the object is
	// dropped. It is longer than an acceptance without an answer may take effect late.
	orphanAge = time.Minute
	// maxUnwatchedTime is the longest time between two checks by this daemon across which a job
	// counts as not open. It may be open between checks that are further apart.
	maxUnwatchedTime = time.Minute
	// maxObjectPages and maxDropsPerSweep limit the calls of one check.
	maxObjectPages   = 10
	maxDropsPerSweep = 100
	// objectSweepKey determines the daemon that checks.
	objectSweepKey = "objects"
)

// newObjectName returns a new name for an object of a job.
func newObjectName(prefix, job string) string {
	return fmt.Sprintf("%s%016x-%s", prefix, rand.Uint64(), job)
}

// jobOfObject returns the job id in an object's name.
func jobOfObject(prefix, name string) (job string, isValid bool) {
	_, job, isValid = strings.Cut(strings.TrimPrefix(name, prefix), "-")
	return job, isValid
}

// isMissing reports whether an object does not exist.
func isMissing(err error) bool { return table.IsKind(err, table.ErrorMissing) }

// dropContent drops the object that holds the content of a job that is over, in the background.
// If that fails, the sweep drops it.
func (s *Service) dropContent(ended *ownedJob) {
	if ended.contentObject != "" {
		go s.dropObject(s.lifetime, ended.contentObject, ended.job.ID, "job_over")
	}
}

func (s *Service) dropObject(ctx context.Context, name, job, reason string) {
	bounded, cancel := context.WithTimeout(ctx, objectCallTimeout)
	defer cancel()
	err := s.store.DropObject(bounded, name)
	s.log.Info("object_dropped", "object", name, "job", job, "reason", reason, "error", err)
}

// objectSweeper finds objects whose job is over, or was never accepted. Only the goroutine of
// sweepObjects uses it.
type objectSweeper struct {
	// keepFor is, by prefix, how long an object is kept while its job is not open.
	keepFor map[string]time.Duration
	// notOpenSince is since when the job of an object was found not to be open at each check, by
	// name.
	notOpenSince map[string]time.Time
	// checkedAt is the time of the last check, by prefix.
	checkedAt map[string]time.Time
}

func newObjectSweeper(resultRetention time.Duration) *objectSweeper {
	return &objectSweeper{
		keepFor:      map[string]time.Duration{contentPrefix: orphanAge, textPrefix: orphanAge + resultRetention},
		notOpenSince: map[string]time.Time{},
		checkedAt:    map[string]time.Time{},
	}
}

// due returns the objects among those listed under a prefix that are to be dropped, by name, with
// their jobs. The objects of other prefixes are not affected.
func (w *objectSweeper) due(prefix string, names []string, isOpen func(job string) bool, now time.Time) map[string]string {
	w.recordCheck(prefix, now)
	found, due := map[string]bool{}, map[string]string{}
	for _, name := range names {
		job, isValid := jobOfObject(prefix, name)
		if !isValid || isOpen(job) {
			continue
		}
		found[name] = true
		since, isKnown := w.notOpenSince[name]
		if !isKnown {
			w.notOpenSince[name] = now
			continue
		}
		if now.Sub(since) >= w.keepFor[prefix] && len(due) < maxDropsPerSweep {
			due[name] = job
		}
	}
	for name := range w.notOpenSince {
		if strings.HasPrefix(name, prefix) && !found[name] {
			delete(w.notOpenSince, name)
		}
	}
	return due
}

// recordCheck records a check, and forgets the earlier ones if they are too long ago.
func (w *objectSweeper) recordCheck(prefix string, now time.Time) {
	if now.Sub(w.checkedAt[prefix]) > maxUnwatchedTime {
		maps.DeleteFunc(w.notOpenSince, func(name string, _ time.Time) bool { return strings.HasPrefix(name, prefix) })
	}
	w.checkedAt[prefix] = now
}

// sweepObjects drops objects whose job is over or was never accepted, until the context ends. One
// daemon of the fleet does so.
func (s *Service) sweepObjects(ctx context.Context) {
	periodic.Run(ctx, objectSweepInterval, func() {
		if s.peers.Rank(objectSweepKey) != 0 || !s.hasCurrentClaims() {
			return
		}
		for _, prefix := range []string{contentPrefix, textPrefix} {
			names, err := s.listObjects(ctx, prefix)
			if err != nil {
				s.log.Info("objects_not_listed", "prefix", prefix, "error", err)
				continue
			}
			for name, job := range s.objectSweeper.due(prefix, names, s.isOpen, time.Now()) {
				if s.hasNoClaim(ctx, job) {
					s.dropObject(ctx, name, job, "swept")
				}
			}
		}
	})
}

// listObjects lists the objects with a prefix, up to maxObjectPages pages.
func (s *Service) listObjects(ctx context.Context, prefix string) ([]string, error) {
	all, after := []string{}, ""
	for range maxObjectPages {
		bounded, cancel := context.WithTimeout(ctx, objectCallTimeout)
		names, more, err := s.store.Objects(bounded, prefix, after)
		cancel()
		if err != nil {
			return nil, err
		}
		all = append(all, names...)
		if !more || len(names) == 0 {
			break
		}
		after = names[len(names)-1]
	}
	return all, nil
}

// hasNoClaim reports whether the store certainly has no claim on a job.
func (s *Service) hasNoClaim(ctx context.Context, id string) bool {
	stored, err := s.storedClaim(ctx, id)
	return err == nil && stored.version == 0
}
