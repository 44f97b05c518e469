package frontend

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/job"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/periodic"
	"topazpulley/internal/ratelimit"
	"topazpulley/internal/table"
)

// peers tells the job service which daemons are alive, and them of ends.
type peers struct {
	node      *cluster.Node
	transport *peer.Transport
	log       *slog.Logger
}

// Liveness implements job.Peers.
func (p peers) Liveness(name string, incarnation int64) job.Liveness {
	member, known := p.node.Member(name)
	switch {
	case !known || member.Incarnation < incarnation:
		return job.LivenessUnknown
	case member.State == membership.StateLeft || member.Incarnation > incarnation+refuteMargin:
		return job.LivenessGone
	case !member.Live():
		return job.LivenessSuspected
	}
	return job.LivenessAlive
}

// refuteMargin is how far a daemon's incarnation may rise within one life: by
// one with each refuted suspicion. Lives start further apart, in milliseconds.
const refuteMargin = 200

// Rank implements job.Peers.
func (p peers) Rank(key string) int {
	return duty.Rank(key, p.node.Self().Name, p.node.AllNames())
}

// Successor implements job.Peers.
func (p peers) Successor(key string) string {
	self := p.node.Self().Name
	for _, name := range duty.Owners(key, p.node.AllNames(), 2) {
		if name != self {
			return name
		}
	}
	return ""
}

// tableMembers is where daemons leave their addresses for others to find.
const tableMembers = "member"

const (
	memberTimeout = time.Second
	memberRows    = 500
)

// keepFound writes this daemon's address to the store and looks there for
// others while it may be alone.
func (f *Frontend) keepFound(ctx context.Context) {
	isWritten := false
	for ctx.Err() == nil {
		isFound := f.Members() > 1
		if !isFound {
			// Reading comes first: the writes of a fleet that starts at once wait
			// for each other.
			f.readAddresses(ctx)
		}
		isWritten = isWritten || f.writeAddress(ctx)
		if isWritten && isFound {
			return
		}
		periodic.Sleep(ctx, rejoinPause)
	}
}

// writeAddress tries once to leave this daemon's address in the store.
func (f *Frontend) writeAddress(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	_, err := f.store.Commit(bounded, table.Transaction{
		Writes: []table.Write{{Table: tableMembers, Key: f.settings.Name, Value: []byte(f.settings.AdvertiseAddress)}},
	})
	var failed *table.Error
	if err != nil && errors.As(err, &failed) {
		f.log.Info("address_not_written", "error", err)
	}
	return err == nil
}

// readAddresses adds the addresses that other daemons left to the seeds.
func (f *Frontend) readAddresses(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	page, err := f.store.Read(bounded, table.Range{Table: tableMembers, Limit: memberRows})
	if err != nil {
		return
	}
	seeds := append([]string(nil), f.settings.Seeds...)
	registered := []ratelimit.Daemon{}
	for _, row := range page.Rows {
		if row.Key != f.settings.Name {
			seeds = append(seeds, string(row.Value))
			registered = append(registered, ratelimit.Daemon{Name: row.Key, Address: string(row.Value)})
		}
	}
	f.node.SetSeeds(seeds)
	f.limitFleet.SetRegistered(registered)
}
