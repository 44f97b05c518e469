package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Policy configures when a request or a prompt part is quarantined and for how long.
type Policy struct {
	// Crashes is the number of backends that must have crashed under a request without a
	// success in between. One is not enough: other requests were in flight there too.
	Crashes int
	// Time is the duration of the quarantine after the latest crash. Afterwards one more
	// crash quarantines the request again.
	Time time.Duration
}

// extraPartCrashes is the number of crashes by which a prompt part needs more evidence than a
// request: the requests of many callers share a part, so that it is in flight at more backends that
// crash for other reasons.
const extraPartCrashes = 1

// unexplainedCrashes is the number of crashes without another culprit from which a prompt part is
// held for itself. One may have a cause of its own.
const unexplainedCrashes = 2

// crashesFor returns the number of crashes that quarantine a request or prompt part.
func (p Policy) crashesFor(fingerprint Fingerprint) int {
	if fingerprint.IsPart() {
		return p.Crashes + extraPartCrashes
	}
	return p.Crashes
}

const (
	// evidenceTime is the lifetime of evidence. It is longer than the quarantine, so that
	// a request that is sent again afterwards is quarantined after one crash.
	evidenceTime = time.Hour
	// maxSuspects is the maximum number of suspected requests, and that of suspected prompt parts,
	// about 300 bytes each. Those with the least evidence are evicted first, and the oldest among
	// equals, so that what is quarantined is kept.
	maxSuspects = 4096
	// evictedSuspects is how many suspects are evicted at once, as each eviction compares all.
	evictedSuspects = maxSuspects / 16
	// A crash after the request had produced output counts half: requests that cause a
	// crash mostly do so before their first output, and most that are cut off beside them had
	// produced some. Requests that cause a late crash need twice as many.
	fullWeight = 2
	halfWeight = 1
)

// crash describes the crash of one backend under a request.
type crash struct {
	at        time.Time
	hadOutput bool
	// isStored is true if the evidence was received from the store.
	isStored bool
}

// suspect is a request or a prompt part under which backends crashed.
type suspect struct {
	// needed is the number of crashes that quarantine it.
	needed int
	// crashes is keyed by backend incarnation: each counts once, however many daemons
	// observed it.
	crashes map[string]crash
	// beforeOutput is the number of crashes before the request had produced output.
	beforeOutput int
	lastAt       time.Time
}

// Verdict describes why a request is quarantined.
type Verdict struct {
	Fingerprint Fingerprint
	// Instances are the backends that crashed under it, sorted.
	Instances []string
	// Since is the time of the latest crash, and Until the end of the quarantine.
	Since time.Time
	Until time.Time
}

// Ledger holds the evidence of one daemon. It is not safe for concurrent use.
type Ledger struct {
	policy   Policy
	suspects map[Fingerprint]*suspect
	// attributed is, by backend, the number of culprits that its crash is attributed to: the
	// suspects with at least policy.Crashes crashes before their first output. An attributed
	// crash does not count against requests that had produced output there. It still counts
	// against requests without output, so that several culprits are found.
	attributed map[string]int
	// partCount is the number of suspects that are prompt parts.
	partCount int
	// culpritParts are the prompt parts with enough crashes to be quarantined.
	culpritParts map[Fingerprint]*suspect
}

// NewLedger returns an empty ledger.
func NewLedger(policy Policy) *Ledger {
	return &Ledger{policy: policy, suspects: map[Fingerprint]*suspect{}, attributed: map[string]int{}, culpritParts: map[Fingerprint]*suspect{}}
}

// Add records evidence and reports whether it was new. isStored is true if it came from
// the store.
func (l *Ledger) Add(evidence Evidence, isStored bool) bool {
	known, exists := l.suspects[evidence.Fingerprint]
	if !exists {
		known = l.insert(evidence.Fingerprint)
	}
	added := crash{at: evidence.At, hadOutput: evidence.HadOutput, isStored: isStored}
	earlier, isKnown := known.crashes[evidence.Instance]
	if isKnown {
		// Several requests with this fingerprint may have been in flight there: one
		// without output has precedence.
		added.hadOutput = earlier.hadOutput && evidence.HadOutput
		added.isStored = earlier.isStored || isStored
		if earlier.at.Before(added.at) {
			added.at = earlier.at
		}
	}
	l.change(evidence.Fingerprint, known, func() { known.crashes[evidence.Instance] = added })
	return !isKnown || added.hadOutput != earlier.hadOutput
}

// insert adds a suspect without evidence.
func (l *Ledger) insert(fingerprint Fingerprint) *suspect {
	l.evict(fingerprint.IsPart())
	added := &suspect{needed: l.policy.crashesFor(fingerprint), crashes: map[string]crash{}}
	l.suspects[fingerprint] = added
	if fingerprint.IsPart() {
		l.partCount++
	}
	return added
}

// delete removes a suspect that is attributed no crashes.
func (l *Ledger) delete(fingerprint Fingerprint) {
	delete(l.suspects, fingerprint)
	delete(l.culpritParts, fingerprint)
	if fingerprint.IsPart() {
		l.partCount--
	}
}

// change modifies a suspect's crashes and updates what is derived from them.
func (l *Ledger) change(fingerprint Fingerprint, known *suspect, apply func()) {
	l.attribute(known, -1)
	apply()
	known.update()
	l.attribute(known, 1)
	delete(l.culpritParts, fingerprint)
	if fingerprint.IsPart() && known.isCulprit() {
		l.culpritParts[fingerprint] = known
	}
}

// isCulprit reports whether there are enough crashes without output.
func (s *suspect) isCulprit() bool { return s.beforeOutput >= s.needed }

// attribute adds count to attributed for each backend that a culprit crashed before its
// first output.
func (l *Ledger) attribute(known *suspect, count int) {
	if !known.isCulprit() {
		return
	}
	for instance, each := range known.crashes {
		if each.hadOutput {
			continue
		}
		l.attributed[instance] += count
		if l.attributed[instance] == 0 {
			delete(l.attributed, instance)
		}
	}
}

// weight returns the weight of the evidence against a suspect.
func (l *Ledger) weight(known *suspect) int {
	weight := 0
	for instance, each := range known.crashes {
		switch {
		case !each.hadOutput:
			weight += fullWeight
		case l.attributed[instance] == 0:
			weight += halfWeight
		}
	}
	return weight
}

// update recalculates beforeOutput and lastAt.
func (s *suspect) update() {
	s.beforeOutput, s.lastAt = 0, time.Time{}
	for _, each := range s.crashes {
		if !each.hadOutput {
			s.beforeOutput++
		}
		if each.at.After(s.lastAt) {
			s.lastAt = each.at
		}
	}
}

// evict removes the suspects with the least evidence if there are maxSuspects of a kind: requests
// or prompt parts.
func (l *Ledger) evict(areParts bool) {
	count := len(l.suspects) - l.partCount
	if areParts {
		count = l.partCount
	}
	if count < maxSuspects {
		return
	}
	type candidate struct {
		fingerprint Fingerprint
		weight      int
		lastAt      time.Time
	}
	candidates := make([]candidate, 0, count)
	for fingerprint, each := range l.suspects {
		if fingerprint.IsPart() == areParts {
			candidates = append(candidates, candidate{fingerprint: fingerprint, weight: l.weight(each), lastAt: each.lastAt})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), a.lastAt.Compare(b.lastAt))
	})
	for _, each := range candidates[:evictedSuspects] {
		l.Clear(each.fingerprint)
	}
}

// Remove removes the evidence of one backend and reports whether there was any.
func (l *Ledger) Remove(fingerprint Fingerprint, instance string) bool {
	known, exists := l.suspects[fingerprint]
	if !exists {
		return false
	}
	_, isKnown := known.crashes[instance]
	l.change(fingerprint, known, func() { delete(known.crashes, instance) })
	if len(known.crashes) == 0 {
		l.delete(fingerprint)
	}
	return isKnown
}

// Clear removes all evidence against a request and returns the backends that crashed
// under it.
func (l *Ledger) Clear(fingerprint Fingerprint) []string {
	known, exists := l.suspects[fingerprint]
	if !exists {
		return nil
	}
	l.attribute(known, -1)
	l.delete(fingerprint)
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

// IsSuspect reports whether there is evidence against a request.
func (l *Ledger) IsSuspect(fingerprint Fingerprint) bool { return l.suspects[fingerprint] != nil }

// Verdict reports whether a request is quarantined, and why.
func (l *Ledger) Verdict(fingerprint Fingerprint, now time.Time) (Verdict, bool) {
	known, exists := l.suspects[fingerprint]
	if !exists || l.weight(known) < known.needed*fullWeight {
		return Verdict{}, false
	}
	until := known.lastAt.Add(l.policy.Time)
	if !now.Before(until) {
		return Verdict{}, false
	}
	return Verdict{Fingerprint: fingerprint, Instances: known.instances(), Since: known.lastAt, Until: until}, true
}

// PartsVerdict reports whether a request is quarantined because of a part of its prompt, and which.
//
// A part that was only beside a culprit at each crash has the same evidence as the culprit. It
// must not hold a request without the culprit. A part therefore counts only if the quarantined parts
// that the request lacks do not explain its crashes. If it is a culprit itself, the next crashes
// show that: the other parts were not there.
func (l *Ledger) PartsVerdict(parts Parts, now time.Time) (Verdict, bool) {
	if len(l.culpritParts) == 0 {
		return Verdict{}, false
	}
	for _, part := range parts {
		known, isCulprit := l.culpritParts[part]
		if !isCulprit {
			continue
		}
		if verdict, isQuarantined := l.Verdict(part, now); isQuarantined && !l.isExplained(known, parts, now) {
			return verdict, true
		}
	}
	return Verdict{}, false
}

// isExplained reports whether quarantined parts that are not among the given ones were at the
// crashes of a part, except for fewer than unexplainedCrashes.
func (l *Ledger) isExplained(known *suspect, parts Parts, now time.Time) bool {
	unexplained := len(known.crashes)
	others := l.quarantinedWithout(parts, now)
	for instance := range known.crashes {
		if slices.ContainsFunc(others, func(other *suspect) bool { return other.isAt(instance) }) {
			unexplained--
		}
	}
	return unexplained < unexplainedCrashes
}

// quarantinedWithout returns the quarantined parts that are not among the given ones.
func (l *Ledger) quarantinedWithout(parts Parts, now time.Time) []*suspect {
	others := []*suspect{}
	for other, suspected := range l.culpritParts {
		if slices.Contains(parts, other) {
			continue
		}
		if _, isQuarantined := l.Verdict(other, now); isQuarantined {
			others = append(others, suspected)
		}
	}
	return others
}

// isAt reports whether the backend crashed under the suspect.
func (s *suspect) isAt(instance string) bool {
	_, isKnown := s.crashes[instance]
	return isKnown
}

// Verdicts returns the verdicts of all quarantined requests and prompt parts, the latest first.
func (l *Ledger) Verdicts(now time.Time) []Verdict {
	found := []Verdict{}
	for fingerprint := range l.suspects {
		if verdict, isQuarantined := l.Verdict(fingerprint, now); isQuarantined {
			found = append(found, verdict)
		}
	}
	slices.SortFunc(found, func(a, b Verdict) int {
		return cmp.Or(b.Since.Compare(a.Since), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return found
}

// Expire removes the evidence that is older than evidenceTime and returns it.
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

// RetainStored removes evidence that was in the store and is not present there any more:
// another daemon withdrew it. Evidence that has not been written yet is kept.
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
