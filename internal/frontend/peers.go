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

// peers implements job.Peers with the cluster membership and the peer transport.
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
	case member.State == membership.StateLeft || membership.IsLaterProcess(member.Incarnation, incarnation):
		return job.LivenessGone
	case !member.Live():
		return job.LivenessSuspected
	}
	return job.LivenessAlive
}

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

// tableMembers is the table of daemon addresses, by daemon name.
const tableMembers = "member"

const (
	memberTimeout = time.Second
	// memberRows is the number of addresses per read. Reads start after the daemon's own
	// name, so that daemons that start at once do not all contact the same few.
	memberRows = 100
	// registerSpread is multiplied by the number of members to get the time over which a
	// large fleet spreads the retries of address writes that the store refused.
	registerSpread = 10 * time.Millisecond
	// maxRegisterPause bounds the mean pause between two attempts to write the address. The
	// pause doubles with each attempt.
	maxRegisterPause = 4 * time.Second
)

// findMembers reads the addresses of other daemons from the store while no other is known.
func (f *Frontend) findMembers(ctx context.Context) {
	for f.Members() <= 1 {
		// Read before the pause: the address writes of a fleet that starts at once are slow.
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
		pause = min(2*pause, maxRegisterPause)
		if found := f.Members(); found > topology.FullMeshLimit {
			periodic.Sleep(ctx, rand.N(time.Duration(found)*registerSpread))
		}
	}
}

// writeAddress tries once to write this daemon's address to the store.
func (f *Frontend) writeAddress(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	// Not forwarded through other daemons: the store serializes these writes and throttles
	// them whichever daemon makes the call.
	_, err := f.direct.Commit(bounded, table.Transaction{
		Writes: []table.Write{{Table: tableMembers, Key: f.settings.Name, Value: []byte(f.settings.AdvertiseAddress)}},
	})
	var failed *table.Error
	if err != nil && errors.As(err, &failed) {
		f.log.Info("address_not_written", "error", err)
	}
	return err == nil
}

// readAddresses adds the addresses of other daemons to the seeds. All addresses of a large
// fleet are read only if there are tenants, whose limits are shared by all daemons.
func (f *Frontend) readAddresses(ctx context.Context) {
	rows, isComplete, err := f.addresses(ctx)
	if err != nil {
		f.log.Info("addresses_not_read", "error", err)
		return
	}
	registered := registeredDaemons(rows, f.settings.Name)
	seeds := append([]string(nil), f.settings.Seeds...)
	for _, each := range registered {
		seeds = append(seeds, each.Address)
	}
	f.node.SetSeeds(seeds)
	if isComplete {
		f.limitFleet.SetRegistered(registered)
	}
}

// registeredDaemons returns the other daemons in rows of addresses, without rows that hold none.
func registeredDaemons(rows []table.Row, self string) []ratelimit.Daemon {
	registered := []ratelimit.Daemon{}
	for _, row := range rows {
		address := string(row.Value)
		if row.Key != self && peer.IsAddress(address) {
			registered = append(registered, ratelimit.Daemon{Name: row.Key, Address: address})
		}
	}
	return registered
}

// addresses reads the addresses after the daemon's own name, then those before it, and reports
// whether it read all of them.
func (f *Frontend) addresses(ctx context.Context) (rows []table.Row, isComplete bool, err error) {
	for _, part := range []table.Range{{From: f.settings.Name}, {Before: f.settings.Name}} {
		for more := true; more; {
			part.Table, part.Limit = tableMembers, memberRows
			page, err := f.readOnce(ctx, part)
			if err != nil {
				return nil, false, err
			}
			rows = append(rows, page.Rows...)
			if part.From, more, err = page.Next(part.From); err != nil {
				return nil, false, err
			}
			if more && !f.hasTenants() {
				return rows, false, nil
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
