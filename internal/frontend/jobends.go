package frontend

import (
	"context"
	"time"

	"github.com/hamba/avro/v2"

	"topazpulley/internal/job"
	"topazpulley/internal/peer"
	"topazpulley/internal/table"
)

// methodJobEnded is the method of the peer protocol by which a daemon tells the owner
// of a job that it has removed the owner's claim.
const methodJobEnded = "job.ended"

// tellTimeout bounds the telling of an end. An owner that is not reached hears of it
// from the claims that it follows.
const tellTimeout = time.Second

// jobEnded tells that a claim of a version was removed.
type jobEnded struct {
	Job     string `avro:"job"`
	Version int64  `avro:"version"`
}

// jobEndedAnswer says nothing but that the owner knows.
type jobEndedAnswer struct{}

var (
	jobEndedSchema       = avro.MustParse(`{"type":"record","name":"job_ended","fields":[{"name":"job","type":"string"},{"name":"version","type":"long"}]}`)
	jobEndedAnswerSchema = avro.MustParse(`{"type":"record","name":"job_ended_answer","fields":[]}`)
)

// Schema implements peer.Message.
func (jobEnded) Schema() avro.Schema { return jobEndedSchema }

// Schema implements peer.Message.
func (jobEndedAnswer) Schema() avro.Schema { return jobEndedAnswerSchema }

// TellEnded implements job.Peers.
func (p peers) TellEnded(owner, ended string, version table.Version) {
	member, isKnown := p.node.Member(owner)
	if !isKnown {
		p.log.Info("job_end_not_told", "job", ended, "owner", owner, "reason", "unknown_member")
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if _, err := peer.Call[jobEnded, jobEndedAnswer](ctx, p.transport, member.Address, methodJobEnded, jobEnded{Job: ended, Version: int64(version)}); err != nil {
			p.log.Info("job_end_not_told", "job", ended, "owner", owner, "error", err)
		}
	}()
}

// listenForEnds has the service hear of ends that other daemons tell.
func listenForEnds(transport *peer.Transport, jobs *job.Service) {
	peer.Handle(transport, methodJobEnded, func(_ context.Context, _ string, told jobEnded) (jobEndedAnswer, error) {
		jobs.HeardEnded(told.Job, table.Version(told.Version))
		return jobEndedAnswer{}, nil
	})
}
