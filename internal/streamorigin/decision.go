package streamorigin

import "time"

// Opinion is what a daemon believes about the software versions of a service within
// backend.SoftwareWindow.
type Opinion struct {
	// Kind says which of the cases below applies.
	Kind OpinionKind
	// Only is the version if Kind is OpinionOne.
	Only string
}

// OpinionKind is the kind of an opinion.
type OpinionKind int

// The kinds of opinions.
const (
	// OpinionNone means that the daemon knows no backend of the service.
	OpinionNone OpinionKind = iota
	// OpinionOne means that all backends had one version.
	OpinionOne
	// OpinionSeveral means that backends had several versions, or an unknown one.
	OpinionSeveral
)

// String returns the kind as in logs, with the version if there is only one.
func (o Opinion) String() string {
	switch o.Kind {
	case OpinionOne:
		return o.Only
	case OpinionSeveral:
		return "several"
	}
	return "none"
}

// opinionOf returns the opinion of a daemon that listed these software versions.
func opinionOf(versions []string) Opinion {
	switch {
	case len(versions) == 0:
		return Opinion{Kind: OpinionNone}
	case len(versions) == 1 && versions[0] != "":
		return Opinion{Kind: OpinionOne, Only: versions[0]}
	}
	return Opinion{Kind: OpinionSeveral}
}

// Answer is what one daemon knows about the origin of a stream.
type Answer struct {
	// HasRecord reports whether Origin is set. IsConflicting means that streams with different
	// origins had the key.
	HasRecord     bool
	IsConflicting bool
	Origin        Origin
	// Opinion is about the service to which a stream without a record is sent.
	Opinion Opinion
}

// Finding is the result of the search for the origin of a stream.
type Finding string

// The findings.
const (
	// FindingRecord means that a daemon has a record.
	FindingRecord Finding = "record"
	// FindingOnlyVersion means that there is no record, but the service has one version only.
	FindingOnlyVersion Finding = "only_version"
	// FindingUnknown means that the stream may have begun at any of several versions.
	FindingUnknown Finding = "unknown"
	// FindingConflicting means that records or beliefs contradict each other.
	FindingConflicting Finding = "conflicting"
	// FindingNoAnswer means that there is no record here and no other daemon answered, and that
	// the service may have versions that this daemon does not know.
	FindingNoAnswer Finding = "no_answer"
	// FindingUnproven means that there is no record, and that the service may have versions that
	// neither this daemon nor those that answered know.
	FindingUnproven Finding = "unproven"
)

// IsKnown reports whether the origin is certain.
func (f Finding) IsKnown() bool { return f == FindingRecord || f == FindingOnlyVersion }

// MayBecomeKnown reports whether the origin may be found later.
func (f Finding) MayBecomeKnown() bool { return f == FindingNoAnswer || f == FindingUnproven }

// Result is the result of the search for the origin of a stream and what it rests on.
type Result struct {
	Origin  Origin
	Finding Finding
	// Asked is the number of other daemons that were asked, Answered of those that answered.
	Asked, Answered int
	// Evidence is why the service had no other versions, if there was no record.
	Evidence Evidence
	// Opinion is this daemon's, by a list of backends that was current ListAge ago.
	Opinion Opinion
	ListAge time.Duration
}

// search is what is known about the origin of one stream.
type search struct {
	// service is where a stream without a record is sent.
	service string
	// mustHaveRecord is set if a stream without a record may have begun elsewhere than at
	// service, or the request names no stream and service is one of several.
	mustHaveRecord bool
	own            Answer
	// peers are the answers of other daemons; asked is how many were asked.
	peers []Answer
	asked int
	// evidence is why the service had no other versions than those in the answers and further.
	evidence Evidence
	further  []string
}

// answers returns all answers, this daemon's included.
func (s search) answers() []Answer { return append([]Answer{s.own}, s.peers...) }

// needsEvidence reports whether the origin would be certain if the service had no other versions
// than those in the answers.
func (s search) needsEvidence() bool {
	s.evidence = EvidenceAlone
	_, finding := s.decide()
	return finding == FindingOnlyVersion
}

// decide finds the origin of a stream. Records go first. Without a record, the stream began at
// the only version of the service if there is evidence that no daemon can have known another one
// when the caller returned. That all who answer agree is none: they may be cut off together.
func (s search) decide() (Origin, Finding) {
	if origin, finding := recordedOrigin(s.answers()); finding != FindingUnknown {
		return origin, finding
	}
	hasEvidence := s.evidence != EvidenceNone && s.evidence != ""
	switch {
	case !hasEvidence && s.asked > 0 && len(s.peers) == 0:
		return Origin{}, FindingNoAnswer
	case s.mustHaveRecord:
		return Origin{}, FindingUnknown
	}
	origin, finding := onlyVersion(s.service, append(s.answers(), Answer{Opinion: opinionOf(s.further)}))
	if finding == FindingOnlyVersion && !hasEvidence {
		return Origin{}, FindingUnproven
	}
	return origin, finding
}

// recordedOrigin returns the origin by the records, FindingUnknown if there are none.
func recordedOrigin(answers []Answer) (Origin, Finding) {
	found, finding := Origin{}, FindingUnknown
	for _, each := range answers {
		switch {
		case !each.HasRecord:
			continue
		case each.IsConflicting || (finding == FindingRecord && each.Origin != found):
			return Origin{}, FindingConflicting
		}
		found, finding = each.Origin, FindingRecord
	}
	if finding == FindingRecord && found.Software == "" {
		return Origin{}, FindingConflicting
	}
	return found, finding
}

// onlyVersion returns the only software version in which all answers agree.
func onlyVersion(service string, answers []Answer) (Origin, Finding) {
	only := ""
	for _, each := range answers {
		switch {
		case each.Opinion.Kind == OpinionNone:
			continue
		case each.Opinion.Kind == OpinionSeveral:
			return Origin{}, FindingUnknown
		case only != "" && each.Opinion.Only != only:
			return Origin{}, FindingConflicting
		}
		only = each.Opinion.Only
	}
	if only == "" {
		return Origin{}, FindingUnknown
	}
	return Origin{Service: service, Software: only}, FindingOnlyVersion
}
