package frontend

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	"topazpulley/internal/topology"
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
	// memberRows is how many addresses a daemon that is alone reads at a time: its own
	// name's followers in the order of names, so that daemons which start at once do not
	// all turn to the same few.
	memberRows = 100
	// registerSpread is the time for each member over which writes of addresses that the
	// store has turned away are made again: it takes some 200 a second, and in a fleet
	// that is large nobody needs them soon.
	registerSpread = 10 * time.Millisecond
	// longestRegisterPause bounds the mean pause between two tries to write the own
	// address, which doubles: the store takes the writes of a fleet one after the other.
	longestRegisterPause = 4 * time.Second
)

// keepFound looks in the store for other daemons while this one may be alone.
func (f *Frontend) keepFound(ctx context.Context) {
	for f.Members() <= 1 {
		// Reading comes first: the writes of a fleet that starts at once wait
		// for each other.
		f.readAddresses(ctx)
		if !periodic.Sleep(ctx, rejoinPause) {
			return
		}
	}
}

// register writes this daemon's address to the store.
func (f *Frontend) register(ctx context.Context) {
	pause := rejoinPause
	for !f.writeAddress(ctx) && periodic.SleepAbout(ctx, pause) {
		pause = min(2*pause, longestRegisterPause)
		if found := f.Members(); found > topology.FullMeshLimit {
			periodic.Sleep(ctx, rand.N(time.Duration(found)*registerSpread))
		}
	}
}

// writeAddress tries once to leave this daemon's address in the store.
func (f *Frontend) writeAddress(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	// Not through other daemons: the store takes such writes one after the other and
	// throttles those of a whole fleet, by whomever they are made.
	_, err := f.direct.Commit(bounded, table.Transaction{
		Writes: []table.Write{{Table: tableMembers, Key: f.settings.Name, Value: []byte(f.settings.AdvertiseAddress)}},
	})
	var failed *table.Error
	if err != nil && errors.As(err, &failed) {
		f.log.Info("address_not_written", "error", err)
	}
	return err == nil
}

// readAddresses adds addresses that other daemons left to the seeds. Those of a large
// fleet are read as a whole only where limits of tenants are kept among all of them.
func (f *Frontend) readAddresses(ctx context.Context) {
	rows, isWhole, err := f.addresses(ctx)
	if err != nil {
		f.log.Info("addresses_not_read", "error", err)
		return
	}
	seeds := append([]string(nil), f.settings.Seeds...)
	registered := []ratelimit.Daemon{}
	for _, row := range rows {
		if row.Key != f.settings.Name {
			seeds = append(seeds, string(row.Value))
			registered = append(registered, ratelimit.Daemon{Name: row.Key, Address: string(row.Value)})
		}
	}
	f.node.SetSeeds(seeds)
	if isWhole {
		f.limitFleet.SetRegistered(registered)
	}
}

// addresses reads those behind the own name, then those before it, and reports whether
// that was all.
func (f *Frontend) addresses(ctx context.Context) (rows []table.Row, isWhole bool, err error) {
	for _, part := range []table.Range{{From: f.settings.Name}, {Before: f.settings.Name}} {
		for more := true; more; {
			part.Table, part.Limit = tableMembers, memberRows
			page, err := f.readOnce(ctx, part)
			if err != nil {
				return nil, false, err
			}
			rows = append(rows, page.Rows...)
			more = page.More && len(page.Rows) > 0
			if more && !f.hasTenants() {
				return rows, false, nil
			}
			if more {
				part.From = page.Rows[len(page.Rows)-1].Key + "\x00"
			}
		}
	}
	return rows, true, nil
}

func (f *Frontend) readOnce(ctx context.Context, wanted table.Range) (table.Page, error) {
	bounded, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	return f.store.Read(bounded, wanted)
}
