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

// methodJobEnded is the method of the peer protocol by which a daemon tells the owner
// of a job that it has removed the owner's claim.
const methodJobEnded = "job.ended"

// methodJobEndWanted is the method of the peer protocol by which a daemon tells the owner
// of a job that the job's end was asked for.
const methodJobEndWanted = "job.end_wanted"

// tellTimeout bounds the telling of an end. An owner that is not reached hears of it
// from the claims that it follows.
const tellTimeout = time.Second

// jobEnded tells that a claim of a version was removed.
type jobEnded struct {
	Job     string `avro:"job"`
	Version int64  `avro:"version"`
}

// jobEndWanted tells that a tenant wants a job to end. The tenant was checked where the
// end was taken, and is checked again by the owner.
type jobEndWanted struct {
	Job    string `avro:"job"`
	Tenant string `avro:"tenant"`
	// RemainingMillis is for how much longer the end is pursued.
	RemainingMillis int64 `avro:"remaining_ms"`
}

// jobEndedAnswer says nothing but that the owner knows.
type jobEndedAnswer struct{}

var (
	jobEndedSchema       = avrocodec.MustParse(`{"type":"record","name":"job_ended","fields":[{"name":"job","type":"string"},{"name":"version","type":"long"}]}`)
	jobEndWantedSchema   = avrocodec.MustParse(`{"type":"record","name":"job_end_wanted","fields":[{"name":"job","type":"string"},{"name":"tenant","type":"string"},{"name":"remaining_ms","type":"long"}]}`)
	jobEndedAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"job_ended_answer","fields":[]}`)
)

// Schema implements peer.Message.
func (jobEnded) Schema() avro.Schema { return jobEndedSchema }

// Schema implements peer.Message.
func (jobEndWanted) Schema() avro.Schema { return jobEndWantedSchema }

// Schema implements peer.Message.
func (jobEndedAnswer) Schema() avro.Schema { return jobEndedAnswerSchema }

// NotifyClaimRemoved implements job.Peers.
func (p peers) NotifyClaimRemoved(owner, ended string, version table.Version) {
	tell(p, owner, ended, methodJobEnded, jobEnded{Job: ended, Version: int64(version)})
}

// NotifyCancelRequest implements job.Peers.
func (p peers) NotifyCancelRequest(owner string, wanted job.CancelRequest) {
	message := jobEndWanted{Job: wanted.Job, Tenant: wanted.Tenant, RemainingMillis: wanted.Remaining.Milliseconds()}
	tell(p, owner, wanted.Job, methodJobEndWanted, message)
}

// tell sends a message about a job to its owner without waiting for the answer.
func tell[M peer.Message](p peers, owner, subject, method string, message M) {
	member, isKnown := p.node.Member(owner)
	if !isKnown {
		p.log.Info("job_end_not_told", "job", subject, "owner", owner, "method", method, "reason", "unknown_member")
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if _, err := peer.Call[M, jobEndedAnswer](ctx, p.transport, member.Address, method, message); err != nil {
			p.log.Info("job_end_not_told", "job", subject, "owner", owner, "method", method, "error", err)
		}
	}()
}

// listenForEnds has the service hear of ends that other daemons tell.
func listenForEnds(transport *peer.Transport, jobs *job.Service) {
	peer.Handle(transport, methodJobEnded, func(_ context.Context, _ string, told jobEnded) (jobEndedAnswer, error) {
		jobs.HandleClaimRemoved(told.Job, table.Version(told.Version))
		return jobEndedAnswer{}, nil
	})
	peer.Handle(transport, methodJobEndWanted, func(_ context.Context, _ string, told jobEndWanted) (jobEndedAnswer, error) {
		remaining := time.Duration(told.RemainingMillis) * time.Millisecond
		jobs.HandleCancelRequest(job.CancelRequest{Job: told.Job, Tenant: told.Tenant, Remaining: remaining})
		return jobEndedAnswer{}, nil
	})
}
