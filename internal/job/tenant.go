package job

import (
	"context"
	"strconv"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/table"
)

// TenantJobs answers a tenant's calls about jobs: those of other tenants do not
// exist for it.
type TenantJobs struct {
	service *Service
	tenant  string
}

// Of returns the jobs of a tenant by its name; an empty name stands for callers
// that no tenant is known of.
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

func (t TenantJobs) check(ctx context.Context, id string) error {
	accepted, err := t.service.acceptance(ctx, id)
	if failure.Is(err, failure.KindNotFound) && t.service.awaitInitialClaims(ctx) {
		accepted, err = t.service.acceptance(ctx, id)
	}
	if err != nil {
		return t.service.checkClaimsAge(err)
	}
	if !mayAccess(accepted.Tenant, t.tenant) {
		t.service.log.Info("job_call_of_other_tenant", "job", id, "tenant", t.tenant)
		return notFound(id)
	}
	return nil
}

// unlessUnsure returns the error of a job that was not found, or that nothing is known
// for sure: the read may have been an old one. Whoever has heard nothing for a while, as
// behind a pause, does not know the versions by which that is told.
func (s *Service) checkClaimsAge(err error) error {
	if age := s.claimsAge(); failure.Is(err, failure.KindNotFound) && age > claimsAgeLimit {
		return unavailable(&staleClaimsError{claimsAge: age})
	}
	return err
}

// unsureError tells that nothing is known for sure of what was not found.
type staleClaimsError struct{ claimsAge time.Duration }

// Error implements error.
func (e *staleClaimsError) Error() string {
	return "the read may be old: claims_age_ms=" + strconv.FormatInt(shownAge(e.claimsAge), 10)
}

// mayAccess reports whether a caller may deal with the job of an owner. A job
// without a tenant is open to all.
func mayAccess(owner, caller string) bool { return owner == "" || owner == caller }

// tenantOfRow returns whose a job is by its acceptance. A row that cannot be read
// belongs to nobody, so that its sender is not told that the job is missing.
func (s *Service) tenantOfRow(row table.Row) string {
	var accepted acceptance
	if err := decode(row, &accepted); err != nil {
		s.log.Error("acceptance_unreadable", "job", row.Key, "row_version", row.Version, "error", err)
		return ""
	}
	return accepted.Tenant
}
