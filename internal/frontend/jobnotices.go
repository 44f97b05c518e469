package frontend

import (
	"context"
	"time"

	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/job"
	"topazpulley/internal/peer"
	"topazpulley/internal/table"
)

// methodClaimRemoved is the peer method that notifies the owner of a job that its claim was
// removed.
const methodClaimRemoved = "job.ended"

// methodCancelRequest is the peer method that asks the owner of a job to cancel it.
const methodCancelRequest = "job.end_wanted"

// notifyTimeout is the timeout of a notification. An owner that is not reached sees the change
// in the claims that it follows.
const notifyTimeout = time.Second

// claimRemoved reports that the claim of a job with the given version was removed.
type claimRemoved struct {
	Job     string `avro:"job"`
	Version int64  `avro:"version"`
}

// cancelRequest asks to cancel a job of a tenant. The tenant is checked by the daemon that
// received the request and again by the owner.
type cancelRequest struct {
	Job    string `avro:"job"`
	Tenant string `avro:"tenant"`
	// RemainingMillis is the time until the request expires.
	RemainingMillis int64 `avro:"remaining_ms"`
}

// jobNoticeAnswer acknowledges a notification.
type jobNoticeAnswer struct{}

var (
	claimRemovedSchema    = avrocodec.MustParse(`{"type":"record","name":"job_ended","fields":[{"name":"job","type":"string"},{"name":"version","type":"long"}]}`)
	cancelRequestSchema   = avrocodec.MustParse(`{"type":"record","name":"job_end_wanted","fields":[{"name":"job","type":"string"},{"name":"tenant","type":"string"},{"name":"remaining_ms","type":"long"}]}`)
	jobNoticeAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"job_ended_answer","fields":[]}`)
)

// Schema implements peer.Message.
func (claimRemoved) Schema() avro.Schema { return claimRemovedSchema }

// Schema implements peer.Message.
func (cancelRequest) Schema() avro.Schema { return cancelRequestSchema }

// Schema implements peer.Message.
func (jobNoticeAnswer) Schema() avro.Schema { return jobNoticeAnswerSchema }

// NotifyClaimRemoved implements job.Peers.
func (p peers) NotifyClaimRemoved(owner, jobID string, version table.Version) {
	notifyOwner(p, owner, jobID, methodClaimRemoved, claimRemoved{Job: jobID, Version: int64(version)})
}

// NotifyCancelRequest implements job.Peers.
func (p peers) NotifyCancelRequest(owner string, request job.CancelRequest) {
	message := cancelRequest{Job: request.Job, Tenant: request.Tenant, RemainingMillis: request.Remaining.Milliseconds()}
	notifyOwner(p, owner, request.Job, methodCancelRequest, message)
}

// notifyOwner sends a message about a job to its owner and does not wait for the answer.
func notifyOwner[M peer.Message](p peers, owner, subject, method string, message M) {
	member, isKnown := p.node.Member(owner)
	if !isKnown {
		p.log.Info("job_end_not_told", "job", subject, "owner", owner, "method", method, "reason", "unknown_member")
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if _, err := peer.Call[M, jobNoticeAnswer](ctx, p.transport, member.Address, method, message); err != nil {
			p.log.Info("job_end_not_told", "job", subject, "owner", owner, "method", method, "error", err)
		}
	}()
}

// handleJobNotices passes notifications from other daemons to the job service.
func handleJobNotices(transport *peer.Transport, jobs *job.Service) {
	peer.Handle(transport, methodClaimRemoved, func(_ context.Context, _ string, message claimRemoved) (jobNoticeAnswer, error) {
		jobs.HandleClaimRemoved(message.Job, table.Version(message.Version))
		return jobNoticeAnswer{}, nil
	})
	peer.Handle(transport, methodCancelRequest, func(_ context.Context, _ string, message cancelRequest) (jobNoticeAnswer, error) {
		remaining := time.Duration(message.RemainingMillis) * time.Millisecond
		jobs.HandleCancelRequest(job.CancelRequest{Job: message.Job, Tenant: message.Tenant, Remaining: remaining})
		return jobNoticeAnswer{}, nil
	})
}
