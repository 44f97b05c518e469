package serving

import (
	"context"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/routing"
	"topazpulley/internal/streamorigin"
)

// Error codes of streams that are not resumed.
const (
	// codeOriginUnknown means that it is not certain at which software version the stream began.
	codeOriginUnknown = "stream_origin_unknown"
	// codeServiceChanged means that the stream began at a service that the route left.
	codeServiceChanged = "stream_service_left"
	// codeNoSoftware means that no backend has the software version at which the stream began.
	codeNoSoftware = "no_back_end_of_version"
)

// softwarePin restricts a request to backends with one software version. The zero value
// restricts nothing.
type softwarePin struct {
	isSet   bool
	version string
}

// allowed returns the candidates that the request may be sent to.
func (p softwarePin) allowed(candidates []routing.Candidate) []routing.Candidate {
	if !p.isSet {
		return candidates
	}
	return routing.WithSoftware(candidates, p.version)
}

// originKey returns the key of the request that received the stream's first event: this one, or
// the one that it resumes.
func (r *Request) originKey() streamorigin.Key {
	id := r.ID
	if r.IsResumption() && r.Resumes != "" {
		id = r.Resumes
	}
	return streamorigin.KeyOf(r.Route.Host, r.tenantName(), id)
}

// IsResumption reports whether the caller resumes a stream after an event.
func (r *Request) IsResumption() bool { return r.Route.Kind == route.KindStream && r.LastEvent > 0 }

// pinToOrigin finds where a stream that the caller resumes began and restricts the request to
// that service and software version. If that is not certain, it refuses the request, which has
// not run, and reports false.
func (e *exchange) pinToOrigin(ctx context.Context) bool {
	if !e.request.IsResumption() {
		return true
	}
	started := time.Now()
	found := e.core.Origins.Find(ctx, streamorigin.Query{Key: e.request.originKey(), Service: e.request.Service}, func() bool { return e.mayHaveOtherService(time.Now()) })
	e.core.Logger.Info("stream_origin", "id", e.request.ID, "resumes", e.request.Resumes, "finding", string(found.Finding), "service", found.Origin.Service,
		"began_software", found.Origin.Software, "last_event", e.request.LastEvent, "asked", found.Asked, "answered", found.Answered, "evidence", string(found.Evidence),
		"opinion", found.Opinion.String(), "list_age_ms", found.ListAge.Milliseconds(), "took_ms", time.Since(started).Milliseconds())
	switch {
	case !found.Finding.IsKnown():
		e.refuseResumption(found.Finding)
		return false
	case !e.request.Route.HasTarget(found.Origin.Service):
		e.reason = ReasonOriginUnknown
		e.giveUp(0, codeServiceChanged)
		return false
	}
	e.request.Service, e.origin = found.Origin.Service, found.Origin.Software
	e.request.pin = softwarePin{isSet: true, version: found.Origin.Software}
	return true
}

// refuseResumption refuses a stream whose origin is not certain. It names a time to return only
// if another daemon may know the origin, or this one may later.
func (e *exchange) refuseResumption(finding streamorigin.Finding) {
	retryAfter := time.Duration(0)
	if finding.MayBecomeKnown() {
		retryAfter = retryAfterNone
	}
	e.reason = ReasonOriginUnknown
	e.giveUp(retryAfter, codeOriginUnknown)
}

// mayHaveOtherService reports whether the stream may have begun at another service than the one
// chosen for this request: the route has several and the request names no earlier one, or its
// services changed lately.
func (e *exchange) mayHaveOtherService(now time.Time) bool {
	isChosenAnew := e.request.Resumes == "" && e.request.Route.CountTargets() > 1
	return isChosenAnew || now.Sub(e.core.Holder.TargetsChangedAt(e.request.Route)) < backend.StreamWindow
}

// recordOrigin restricts the rest of the stream to the software version of the backend that sent
// its first event, and records the origin if the caller may resume the stream.
func (e *exchange) recordOrigin(ctx context.Context) {
	e.origin = e.core.Backends.PresentSoftware(e.last)
	e.request.pin = softwarePin{isSet: true, version: e.origin}
	if e.request.Route.Resumable {
		origin := streamorigin.Origin{Service: e.request.Service, Software: e.origin}
		e.core.Origins.Began(ctx, e.request.originKey(), origin, e.request.Deadline, e.mayHaveOtherService(time.Now()))
	}
}

// isOtherSoftware reports whether a resumed stream would continue at another software version
// than the one that it began at.
func (e *exchange) isOtherSoftware() bool {
	return e.request.pin.isSet && (e.request.pin.version == "" || e.core.Backends.PresentSoftware(e.last) != e.request.pin.version)
}

// lacksSoftware reports whether no backend of the stream's software version takes work any more.
func (e *exchange) lacksSoftware() bool {
	pin := e.request.pin
	return pin.isSet && (pin.version == "" || e.core.Backends.CountSoftware(e.request.Service, pin.version) == 0)
}

// backendCount returns the number of backends that the request may be sent to.
func (e *exchange) backendCount() int {
	if e.request.pin.isSet {
		return e.core.Backends.CountSoftware(e.request.Service, e.request.pin.version)
	}
	return e.core.Backends.Count(e.request.Service)
}
