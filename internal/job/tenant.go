package job

import (
	"context"
	"strconv"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

// TenantJobs answers a tenant's calls about jobs. Jobs of other tenants are reported as
// not found.
type TenantJobs struct {
	service *Service
	tenant  string
}

// Of returns the jobs of the named tenant. An empty name is for callers without a
// tenant.
func (s *Service) Of(tenant string) TenantJobs { return TenantJobs{service: s, tenant: tenant} }

// Results is Service.Results for the tenant's own jobs.
func (t TenantJobs) Results(ctx context.Context, id string, from int, wait time.Duration) (Page, error) {
	if err := t.check(ctx, id); err != nil {
		return Page{}, err
	}
	return t.service.Results(ctx, id, from, wait)
}

// Body is Service.Body for the tenant's own jobs.
func (t TenantJobs) Body(ctx context.Context, id, item string) ([]byte, error) {
	if err := t.check(ctx, id); err != nil {
		return nil, err
	}
	return t.service.Body(ctx, id, item)
}

// check returns an error unless the job exists and the tenant may access it.
func (t TenantJobs) check(ctx context.Context, id string) error {
	accepted, err := t.service.currentAcceptance(ctx, id)
	if err != nil {
		return t.service.checkClaimsAge(err)
	}
	if !mayAccess(accepted.Tenant, t.tenant) {
		t.service.log.Info("job_call_of_other_tenant", "job", id, "tenant", t.tenant)
		return notFound(id)
	}
	return nil
}

// currentAcceptance is acceptance, but a read that finds no job is repeated if the claims
// weren't current when it began and are now: without them it may have been stale.
func (s *Service) currentAcceptance(ctx context.Context, id string) (acceptance, error) {
	wasCurrent := s.hasCurrentClaims()
	accepted, err := s.acceptance(ctx, id)
	if !failure.Is(err, failure.KindNotFound) || wasCurrent || !s.awaitInitialClaims(ctx) {
		return accepted, err
	}
	return s.acceptance(ctx, id)
}

// checkClaimsAge replaces a not-found error by an unavailable one if the followed copy
// of the claims is too old. The read may then have been stale, because the copy
// supplies the versions that detect stale reads.
func (s *Service) checkClaimsAge(err error) error {
	if age := s.claimsAge(); failure.Is(err, failure.KindNotFound) && age > claimsAgeLimit {
		return unavailable(&staleClaimsError{claimsAge: age})
	}
	return err
}

// staleClaimsError reports that a job was not found by a read that may be stale.
type staleClaimsError struct{ claimsAge time.Duration }

// Error implements error.
func (e *staleClaimsError) Error() string {
	return "the read may be stale: claims_age_ms=" + strconv.FormatInt(telemetry.AgeMillis(e.claimsAge), 10)
}

// mayAccess reports whether a caller may access a job of the tenant owner. Jobs without
// a tenant are accessible to all.
func mayAccess(owner, caller string) bool { return owner == "" || owner == caller }

// tenantOfRow returns the tenant in an acceptance row. It is empty if the row cannot be
// decoded, so that the submitter does not get a not-found error.
func (s *Service) tenantOfRow(row table.Row) string {
	var accepted acceptance
	if err := decode(row, &accepted); err != nil {
		s.log.Error("acceptance_unreadable", "job", row.Key, "row_version", row.Version, "error", err)
		return ""
	}
	return accepted.Tenant
}
