package quota

import (
	"encoding/json"

	"topazpulley/internal/table"
)

// totalRow is the row of an account's total. Limit and Config are the newest limit that any
// daemon has applied, so that daemons with an older configuration apply it too.
type totalRow struct {
	Waiting int64 `json:"waiting"`
	Limit   int64 `json:"limit"`
	Config  int64 `json:"config"`
}

// reservationRow is the row of one job's reservation.
type reservationRow struct {
	Tokens int64  `json:"tokens"`
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch,omitempty"`
}

// storedReservation is a reservation with the version of its row. The zero value is a row
// that does not exist.
type storedReservation struct {
	reservationRow
	version table.Version
}

// view is a daemon's cache of an account's rows. Commits are conditional on the versions of
// the rows that they depend on: an outdated view only causes a conflict.
type view struct {
	total        totalRow
	totalVersion table.Version
	// reservations are the cached rows by job. A missing row is assumed not to exist until
	// a conflict shows that it does.
	reservations map[string]storedReservation
}

func newView() *view { return &view{reservations: map[string]storedReservation{}} }

// plan is a transaction with the outcomes of its operations if it commits.
type plan struct {
	transaction table.Transaction
	outcomes    []Outcome
	total       totalRow
	changed     map[string]reservationRow
}

// planOf plans a batch of operations against the view. Operations that free tokens are
// applied first.
func (v *view) planOf(account string, limit Limit, operations []Operation) plan {
	planned := plan{total: v.total, changed: map[string]reservationRow{}, outcomes: make([]Outcome, len(operations))}
	planned.total.updateLimit(limit)
	for index, operation := range operations {
		if operation.Kind != KindReserve {
			planned.outcomes[index] = v.free(&planned, operation)
		}
	}
	for index, operation := range operations {
		if operation.Kind == KindReserve {
			planned.outcomes[index] = v.reserve(&planned, operation)
		}
	}
	planned.transaction = v.transaction(account, planned, operations)
	return planned
}

// updateLimit replaces the limit unless its configuration is older.
func (t *totalRow) updateLimit(limit Limit) {
	if limit.Config >= t.Config {
		t.Limit, t.Config = limit.Tokens, limit.Config
	}
}

// reservation returns a job's reservation with the changes of the plan so far.
func (v *view) reservation(planned *plan, job string) reservationRow {
	if changed, found := planned.changed[job]; found {
		return changed
	}
	return v.reservations[job].reservationRow
}

func (v *view) reserve(planned *plan, operation Operation) Outcome {
	current := v.reservation(planned, operation.Job)
	isNew := current.Tokens == 0
	isBounded := planned.total.Limit > 0
	if isNew && isBounded && planned.total.Waiting+operation.Tokens > planned.total.Limit {
		return Outcome{Waiting: planned.total.Waiting, Limit: planned.total.Limit}
	}
	if isNew {
		current.Tokens = operation.Tokens
		planned.total.Waiting += operation.Tokens
	}
	current.Holder = operation.Holder
	planned.changed[operation.Job] = current
	return Outcome{IsGranted: true, IsNew: isNew, Waiting: planned.total.Waiting, Limit: planned.total.Limit}
}

// free plans a settlement or a release.
func (v *view) free(planned *plan, operation Operation) Outcome {
	current := v.reservation(planned, operation.Job)
	next := current.after(operation)
	planned.total.Waiting += next.Tokens - current.Tokens
	planned.changed[operation.Job] = next
	return Outcome{IsGranted: true, Waiting: planned.total.Waiting, Limit: planned.total.Limit}
}

// after returns the reservation after a settlement or a release.
func (r reservationRow) after(operation Operation) reservationRow {
	isSuperseded := operation.Kind == KindSettle && operation.Epoch < r.Epoch
	isForeign := operation.Kind == KindRelease && operation.Holder != r.Holder
	switch {
	case isSuperseded || isForeign:
		return r
	case operation.Kind == KindRelease:
		return reservationRow{}
	}
	return reservationRow{Tokens: operation.Tokens, Holder: operation.Holder, Epoch: operation.Epoch}
}

// transaction returns the transaction of a plan. Its conditions include every row that the
// plan depends on, even if nothing is written: a refusal is valid only if the view is current.
func (v *view) transaction(account string, planned plan, operations []Operation) table.Transaction {
	transaction := table.Transaction{
		Partition:  account,
		Conditions: []table.Condition{{Table: tableTotal, Key: keyTotal, Version: v.totalVersion}},
	}
	named := map[string]bool{}
	for _, operation := range operations {
		if named[operation.Job] {
			continue
		}
		named[operation.Job] = true
		current := v.reservations[operation.Job]
		transaction.Conditions = append(transaction.Conditions, table.Condition{Table: tableReservation, Key: operation.Job, Version: current.version})
		next, isChanged := planned.changed[operation.Job]
		switch {
		case !isChanged || next == current.reservationRow:
			// The row is unchanged.
		case next.Tokens > 0:
			transaction.Writes = append(transaction.Writes, table.Write{Table: tableReservation, Key: operation.Job, Value: encode(next)})
		case current.version != 0:
			transaction.Removals = append(transaction.Removals, table.Removal{Table: tableReservation, Key: operation.Job})
		}
	}
	if planned.total != v.total {
		transaction.Writes = append(transaction.Writes, table.Write{Table: tableTotal, Key: keyTotal, Value: encode(planned.total)})
	}
	return transaction
}

// setRate sets the rate of freed tokens in all outcomes.
func (p *plan) setRate(perSecond float64) {
	for index := range p.outcomes {
		p.outcomes[index].FreedPerSecond = perSecond
	}
}

// maxViewRows is the maximum number of cached reservations. Dropped rows are read again
// after a conflict.
const maxViewRows = 4096

// recordCommit updates the view with a plan that was committed at a version.
func (v *view) recordCommit(planned plan, version table.Version) {
	if len(v.reservations) > maxViewRows {
		clear(v.reservations)
	}
	for _, write := range planned.transaction.Writes {
		if write.Table == tableTotal {
			v.total, v.totalVersion = planned.total, version
			continue
		}
		v.reservations[write.Key] = storedReservation{reservationRow: planned.changed[write.Key], version: version}
	}
	for _, removal := range planned.transaction.Removals {
		delete(v.reservations, removal.Key)
	}
}

// refresh updates the view with the current rows of a conflict.
func (v *view) refresh(conflict *table.ConflictError, transaction table.Transaction) error {
	for _, condition := range transaction.Conditions {
		row := conflict.Row(condition.Table, condition.Key)
		if condition.Table == tableTotal {
			total := totalRow{}
			if err := decode(row, &total); err != nil {
				return err
			}
			v.total, v.totalVersion = total, row.Version
			continue
		}
		current := storedReservation{version: row.Version}
		if err := decode(row, &current.reservationRow); err != nil {
			return err
		}
		v.reservations[condition.Key] = current
		if row.Version == 0 {
			delete(v.reservations, condition.Key)
		}
	}
	return nil
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: rows contain only numbers and strings
	}
	return encoded
}

func decode(row table.Row, target any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, target); err != nil {
		return &table.Error{Kind: table.ErrorInvalid, Call: "quota_row", Cause: err}
	}
	return nil
}
