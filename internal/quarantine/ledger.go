package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Policy says when a request is quarantined and for how long.
type Policy struct {
	// Crashes is how many back ends must have ended under a request, none of whose
	// runs came to a good end meanwhile. One is no evidence: whatever ran beside the
	// request saw the same end.
	Crashes int
	// Time is how long a request stays quarantined after the latest of them. It then
	// may run again, and one more end quarantines it anew.
	Time time.Duration
}

const (
	// evidenceTime is how long evidence counts: several times the quarantine, so
	// that a request which comes back after it ends one back end and not as many as
	// the first time.
	evidenceTime = time.Hour
	// maxSuspects bounds the fingerprints that are remembered, at about 300 bytes
	// each: some 1 MB. Beyond it the one with the least evidence goes, and among
	// these the one whose evidence is oldest: a flood of requests that each end one
	// back end does not push out what is quarantined.
	maxSuspects = 4096
	// A run that had given output counts half: requests that end their back ends
	// do so soon after they begin to run, while most that are cut beside them had
	// been running. Requests that end theirs late are still found, with twice as many.
	wholeWeight = 2
	halfWeight  = 1
)

// crash is what is known of one back end that ended under a request.
type crash struct {
	at        time.Time
	hadOutput bool
	// isStored tells that the evidence was seen in the store.
	isStored bool
}

func (c crash) weight() int {
	if c.hadOutput {
		return halfWeight
	}
	return wholeWeight
}

// suspect is a request under which back ends ended.
type suspect struct {
	// crashes are by back end: each counts once, however many daemons saw it.
	crashes map[string]crash
	weight  int
	lastAt  time.Time
}

// Verdict tells why a request is quarantined.
type Verdict struct {
	Fingerprint Fingerprint
	// Instances are the back ends that ended under it, in the order of their ids.
	Instances []string
	// Since is when the latest of them ended, and Until when the request may run
	// again.
	Since time.Time
	Until time.Time
}

// Ledger is the evidence of one daemon. It is not safe for concurrent use.
type Ledger struct {
	policy   Policy
	suspects map[Fingerprint]*suspect
}

// NewLedger returns an empty ledger.
func NewLedger(policy Policy) *Ledger {
	return &Ledger{policy: policy, suspects: map[Fingerprint]*suspect{}}
}

// Add takes evidence in and reports whether it was new. isStored tells that it
// stands in the store.
func (l *Ledger) Add(evidence Evidence, isStored bool) bool {
	known, exists := l.suspects[evidence.Fingerprint]
	if !exists {
		l.makeRoom()
		known = &suspect{crashes: map[string]crash{}}
		l.suspects[evidence.Fingerprint] = known
	}
	added := crash{at: evidence.At, hadOutput: evidence.HadOutput, isStored: isStored}
	earlier, isKnown := known.crashes[evidence.Instance]
	if isKnown {
		// Several requests of one fingerprint may have run there: one that had no
		// output yet tells more.
		added.hadOutput = earlier.hadOutput && evidence.HadOutput
		added.isStored = earlier.isStored || isStored
		if earlier.at.Before(added.at) {
			added.at = earlier.at
		}
	}
	known.crashes[evidence.Instance] = added
	known.sum()
	return !isKnown || added.hadOutput != earlier.hadOutput
}

// sum adds the evidence up.
func (s *suspect) sum() {
	s.weight, s.lastAt = 0, time.Time{}
	for _, each := range s.crashes {
		s.weight += each.weight()
		if each.at.After(s.lastAt) {
			s.lastAt = each.at
		}
	}
}

// makeRoom drops the suspect with the least evidence if there are too many.
func (l *Ledger) makeRoom() {
	if len(l.suspects) < maxSuspects {
		return
	}
	var least *suspect
	var leastOf Fingerprint
	for fingerprint, each := range l.suspects {
		if least == nil || each.weight < least.weight || (each.weight == least.weight && each.lastAt.Before(least.lastAt)) {
			least, leastOf = each, fingerprint
		}
	}
	delete(l.suspects, leastOf)
}

// Remove takes back the evidence of one back end.
func (l *Ledger) Remove(fingerprint Fingerprint, instance string) {
	known, exists := l.suspects[fingerprint]
	if !exists {
		return
	}
	delete(known.crashes, instance)
	known.sum()
	if len(known.crashes) == 0 {
		delete(l.suspects, fingerprint)
	}
}

// Clear takes back all evidence against a request and returns the back ends that
// had ended under it.
func (l *Ledger) Clear(fingerprint Fingerprint) []string {
	known, exists := l.suspects[fingerprint]
	if !exists {
		return nil
	}
	delete(l.suspects, fingerprint)
	return known.instances()
}

func (s *suspect) instances() []string {
	found := make([]string, 0, len(s.crashes))
	for instance := range s.crashes {
		found = append(found, instance)
	}
	slices.Sort(found)
	return found
}

// IsSuspect reports whether back ends ended under a request.
func (l *Ledger) IsSuspect(fingerprint Fingerprint) bool { return l.suspects[fingerprint] != nil }

// Verdict reports whether a request is quarantined.
func (l *Ledger) Verdict(fingerprint Fingerprint, now time.Time) (Verdict, bool) {
	known, exists := l.suspects[fingerprint]
	if !exists || known.weight < l.policy.Crashes*wholeWeight {
		return Verdict{}, false
	}
	until := known.lastAt.Add(l.policy.Time)
	if !now.Before(until) {
		return Verdict{}, false
	}
	return Verdict{Fingerprint: fingerprint, Instances: known.instances(), Since: known.lastAt, Until: until}, true
}

// Verdicts returns all that are quarantined, the latest first.
func (l *Ledger) Verdicts(now time.Time) []Verdict {
	found := []Verdict{}
	for fingerprint := range l.suspects {
		if verdict, isHeld := l.Verdict(fingerprint, now); isHeld {
			found = append(found, verdict)
		}
	}
	slices.SortFunc(found, func(a, b Verdict) int {
		return cmp.Or(b.Since.Compare(a.Since), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return found
}

// Expire drops evidence that is too old to count and returns it.
func (l *Ledger) Expire(now time.Time) []Evidence {
	expired := []Evidence{}
	for fingerprint, known := range l.suspects {
		for instance, each := range known.crashes {
			if now.Sub(each.at) > evidenceTime {
				expired = append(expired, Evidence{Fingerprint: fingerprint, Instance: instance, HadOutput: each.hadOutput, At: each.at})
			}
		}
	}
	for _, each := range expired {
		l.Remove(each.Fingerprint, each.Instance)
	}
	return expired
}

// RetainStored drops evidence that stood in the store before and is not among
// what stands there now: others took it back. Evidence that has not been written
// yet stays.
func (l *Ledger) RetainStored(present map[RowKey]bool) {
	dropped := []RowKey{}
	for fingerprint, known := range l.suspects {
		for instance, each := range known.crashes {
			key := RowKey{Fingerprint: fingerprint, Instance: instance}
			if each.isStored && !present[key] {
				dropped = append(dropped, key)
			}
		}
	}
	for _, key := range dropped {
		l.Remove(key.Fingerprint, key.Instance)
	}
}
