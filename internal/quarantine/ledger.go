package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Policy says when a request is quarantined and for how long.
type Policy struct {
	// Crashes is how many backends must have ended under a request, none of whose
	// runs came to a good end meanwhile. One is no evidence: whatever ran beside the
	// request saw the same end.
	Crashes int
	// Time is how long a request stays quarantined after the latest of them. It then
	// may run again, and one more end quarantines it anew.
	Time time.Duration
}

const (
	// evidenceTime is how long evidence counts: several times the quarantine, so
	// that a request which comes back after it ends one backend and not as many as
	// the first time.
	evidenceTime = time.Hour
	// maxSuspects bounds the fingerprints that are remembered, at about 300 bytes
	// each: some 1 MB. Beyond it the one with the least evidence goes, and among
	// these the one whose evidence is oldest: a flood of requests that each end one
	// backend does not push out what is quarantined.
	maxSuspects = 4096
	// A run that had given output counts half: requests that end their backends
	// do so soon after they begin to run, while most that are cut beside them had
	// been running. Requests that end theirs late are still found, with twice as many.
	wholeWeight = 2
	halfWeight  = 1
)

// crash is what is known of one backend that ended under a request.
type crash struct {
	at        time.Time
	hadOutput bool
	// isStored tells that the evidence was seen in the store.
	isStored bool
}

// suspect is a request under which backends ended.
type suspect struct {
	// crashes are by backend: each counts once, however many daemons saw it.
	crashes map[string]crash
	// early is how many of them ended before the run had given output.
	early  int
	lastAt time.Time
}

// Verdict tells why a request is quarantined.
type Verdict struct {
	Fingerprint Fingerprint
	// Instances are the backends that ended under it, in the order of their ids.
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
	// explained is by backend how many requests certainly ended it: those that are
	// held for what they ended before they had given output. Such an end is not held
	// against runs that had given output there: long ones are cut beside one culprit
	// after the other, and would be taken for one. It is held against runs without
	// output all the same, so that no culprit hides behind another.
	explained map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger(policy Policy) *Ledger {
	return &Ledger{policy: policy, suspects: map[Fingerprint]*suspect{}, explained: map[string]int{}}
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
	l.change(known, func() { known.crashes[evidence.Instance] = added })
	return !isKnown || added.hadOutput != earlier.hadOutput
}

// change applies a change to a suspect's crashes.
func (l *Ledger) change(known *suspect, apply func()) {
	l.explain(known, -1)
	apply()
	known.sum()
	l.explain(known, 1)
}

// explain adds to how often the ends of a suspect's backends are explained by it.
func (l *Ledger) explain(known *suspect, count int) {
	if known.early < l.policy.Crashes {
		return
	}
	for instance, each := range known.crashes {
		if each.hadOutput {
			continue
		}
		l.explained[instance] += count
		if l.explained[instance] == 0 {
			delete(l.explained, instance)
		}
	}
}

// weight is the evidence against a suspect.
func (l *Ledger) weight(known *suspect) int {
	weight := 0
	for instance, each := range known.crashes {
		switch {
		case !each.hadOutput:
			weight += wholeWeight
		case l.explained[instance] == 0:
			weight += halfWeight
		}
	}
	return weight
}

// sum adds up what does not depend on other suspects.
func (s *suspect) sum() {
	s.early, s.lastAt = 0, time.Time{}
	for _, each := range s.crashes {
		if !each.hadOutput {
			s.early++
		}
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
	leastWeight := 0
	for fingerprint, each := range l.suspects {
		weight := l.weight(each)
		if least == nil || weight < leastWeight || (weight == leastWeight && each.lastAt.Before(least.lastAt)) {
			least, leastOf, leastWeight = each, fingerprint, weight
		}
	}
	l.Clear(leastOf)
}

// Remove takes back the evidence of one backend and reports whether there was any.
func (l *Ledger) Remove(fingerprint Fingerprint, instance string) bool {
	known, exists := l.suspects[fingerprint]
	if !exists {
		return false
	}
	_, isKnown := known.crashes[instance]
	l.change(known, func() { delete(known.crashes, instance) })
	if len(known.crashes) == 0 {
		delete(l.suspects, fingerprint)
	}
	return isKnown
}

// Clear takes back all evidence against a request and returns the backends that
// had ended under it.
func (l *Ledger) Clear(fingerprint Fingerprint) []string {
	known, exists := l.suspects[fingerprint]
	if !exists {
		return nil
	}
	l.explain(known, -1)
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

// IsSuspect reports whether backends ended under a request.
func (l *Ledger) IsSuspect(fingerprint Fingerprint) bool { return l.suspects[fingerprint] != nil }

// Verdict reports whether a request is quarantined.
func (l *Ledger) Verdict(fingerprint Fingerprint, now time.Time) (Verdict, bool) {
	known, exists := l.suspects[fingerprint]
	if !exists || l.weight(known) < l.policy.Crashes*wholeWeight {
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
