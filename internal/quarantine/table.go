package quarantine

import (
	"strings"

	"topazpulley/internal/table"
)

// TableName is the table of evidence. Each row is one crash of a backend under one
// request. Daemons that observe the same crash write the same row, without reading first.
const TableName = "crash_evidence"

// RowKey identifies a row of evidence.
type RowKey struct {
	Fingerprint Fingerprint
	Instance    string
}

// String returns the row's key in the store.
func (k RowKey) String() string { return k.Fingerprint.String() + "/" + k.Instance }

var _ table.Consumer = (*Guard)(nil)

// Replace implements table.Consumer.
func (g *Guard) Replace(rows []table.Row, version table.Version) {
	present := map[RowKey]bool{}
	for _, row := range rows {
		if evidence, err := decodeEvidence(row.Value); err == nil {
			present[RowKey{Fingerprint: evidence.Fingerprint, Instance: evidence.Instance}] = true
		}
	}
	g.mutex.Lock()
	g.ledger.RetainStored(present)
	g.mutex.Unlock()
	g.Change(rows, version)
}

// Change implements table.Consumer.
func (g *Guard) Change(rows []table.Row, _ table.Version) {
	for _, row := range rows {
		if row.Deleted {
			g.removeRow(row)
			continue
		}
		evidence, err := decodeEvidence(row.Value)
		if err != nil {
			g.log.Error("evidence_unreadable", "key", row.Key, "row_version", row.Version, "error", err)
			continue
		}
		g.Receive(Notice{Evidence: []Evidence{evidence}}, SourceStore)
	}
}

func (g *Guard) removeRow(row table.Row) {
	text, instance, _ := strings.Cut(row.Key, "/")
	fingerprint, err := ParseFingerprint(text)
	if err != nil {
		g.log.Error("evidence_unreadable", "key", row.Key, "row_version", row.Version, "error", err)
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ledger.Remove(fingerprint, instance)
}
