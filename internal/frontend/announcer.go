package frontend

import (
	"math/rand/v2"
	"strings"

	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/table"
)

const (
	// keyAnnouncement is the key prefix of a hint that rows of a table changed; the table's name
	// follows. The hint's version is that of the newest row.
	keyAnnouncement = "table-changed/"
	// announcementFanout is how many daemons a daemon notifies of each change that it hears of.
	// With two daemons in five unreachable, a change still reaches nine in ten of the others.
	announcementFanout = 5
)

// announcer spreads by datagrams which version of a table is the newest, so that a daemon whose
// own sources fail hears of it and requests the rows from others. Each daemon passes each version
// on once. It is a consumer between a follower's copy and its consumer.
type announcer struct {
	table.Consumer
	node  *cluster.Node
	table string
	// announce informs the follower of the table.
	announce func(version table.Version)

	// newest is the highest version that was passed on.
	newest table.HighestVersion
}

var _ table.Consumer = (*announcer)(nil)

// newAnnouncer returns an announcer, which receives announcements through the node. The node must
// not run yet.
func newAnnouncer(name string, consumer table.Consumer, node *cluster.Node) *announcer {
	made := &announcer{Consumer: consumer, node: node, table: name, announce: func(table.Version) {}}
	node.Subscribe(made.receive)
	return made
}

// Replace implements table.Consumer.
func (a *announcer) Replace(rows []table.Row, version table.Version) {
	a.Consumer.Replace(rows, version)
	a.spread(newestOf(rows))
}

// Change implements table.Consumer.
func (a *announcer) Change(rows []table.Row, version table.Version) {
	a.Consumer.Change(rows, version)
	a.spread(newestOf(rows))
}

// newestOf returns the highest version of the rows; 0 if there are none.
func newestOf(rows []table.Row) table.Version {
	newest := table.Version(0)
	for _, row := range rows {
		newest = max(newest, row.Version)
	}
	return newest
}

// receive handles an announcement of another daemon.
func (a *announcer) receive(event membership.Event) {
	if event.Kind != membership.EventHint {
		return
	}
	name, isAnnouncement := strings.CutPrefix(event.Item.Key, keyAnnouncement)
	if !isAnnouncement || name != a.table {
		return
	}
	version := table.Version(event.Item.Version)
	a.announce(version)
	a.spread(version)
}

// spread passes a version on to other daemons unless it was passed on before.
func (a *announcer) spread(version table.Version) {
	if !a.newest.Raise(version) {
		return
	}
	item := membership.Item{Key: keyAnnouncement + a.table, Version: int64(version), Priority: membership.PriorityLoad, Payload: []byte{}}
	for _, name := range a.recipients() {
		a.node.Hint(name, item)
	}
}

// recipients returns announcementFanout other live daemons at random.
func (a *announcer) recipients() []string {
	self, others := a.node.Self().Name, []string{}
	for _, member := range a.node.Members() {
		if member.Name != self {
			others = append(others, member.Name)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return others[:min(announcementFanout, len(others))]
}
