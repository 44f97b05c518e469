package quota

import (
	"encoding/json"

	"topazpulley/internal/table"
)

// totalRow is an account's sum. Limit and Config are the newest bound that any
// daemon has applied, so that one that has not heard of it yet applies it too.
type totalRow struct {
	Waiting int64 `json:"waiting"`
	Limit   int64 `json:"limit"`
	Config  int64 `json:"config"`
}

// reservationRow is one job's part of the sum.
type reservationRow struct {
	Tokens int64  `json:"tokens"`
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch,omitempty"`
}

// heldReservation is a reservation with the version of its row; the zero value
// stands for a row that does not exist.
type heldReservation struct {
	reservationRow
	version table.Version
}

// view is what one daemon believes of an account's rows. A commit is
// conditional on all that it relies on, so a view that lies behind costs a
// further call and nothing else.
type view struct {
	total        totalRow
	totalVersion table.Version
	// reservations are the rows that this daemon has dealt with. A row that is
	// missing here is taken as absent until the store says otherwise.
	reservations map[string]heldReservation
}

func newView() *view { return &view{reservations: map[string]heldReservation{}} }

// plan is a transaction with what it means for each operation if it commits.
type plan struct {
	transaction table.Transaction
	outcomes    []Outcome
	total       totalRow
	changed     map[string]reservationRow
}

// planOf works out a batch of operations against the view. What frees tokens
// goes first.
func (v *view) planOf(account string, limit Limit, operations []Operation) plan {
	made := plan{total: v.total, changed: map[string]reservationRow{}, outcomes: make([]Outcome, len(operations))}
	made.total.apply(limit)
	for index, operation := range operations {
		if operation.Kind != KindReserve {
			made.outcomes[index] = v.free(&made, operation)
		}
	}
	for index, operation := range operations {
		if operation.Kind == KindReserve {
			made.outcomes[index] = v.reserve(&made, operation)
		}
	}
	made.transaction = v.transaction(account, made, operations)
	return made
}

// apply takes over a limit of a newer configuration.
func (t *totalRow) apply(limit Limit) {
	if limit.Config >= t.Config {
		t.Limit, t.Config = limit.Tokens, limit.Config
	}
}

// present is a job's reservation as the batch has changed it so far.
func (v *view) present(made *plan, job string) reservationRow {
	if changed, found := made.changed[job]; found {
		return changed
	}
	return v.reservations[job].reservationRow
}

func (v *view) reserve(made *plan, operation Operation) Outcome {
	held := v.present(made, operation.Job)
	isNew := held.Tokens == 0
	isBounded := made.total.Limit > 0
	if isNew && isBounded && made.total.Waiting+operation.Tokens > made.total.Limit {
		return Outcome{Waiting: made.total.Waiting, Limit: made.total.Limit}
	}
	if isNew {
		held.Tokens = operation.Tokens
		made.total.Waiting += operation.Tokens
	}
	held.Holder = operation.Holder
	made.changed[operation.Job] = held
	return Outcome{IsGranted: true, IsNew: isNew, Waiting: made.total.Waiting, Limit: made.total.Limit}
}

// free settles or releases.
func (v *view) free(made *plan, operation Operation) Outcome {
	held := v.present(made, operation.Job)
	next := held.after(operation)
	made.total.Waiting += next.Tokens - held.Tokens
	made.changed[operation.Job] = next
	return Outcome{IsGranted: true, Waiting: made.total.Waiting, Limit: made.total.Limit}
}

// after returns the reservation as an operation leaves it.
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

// transaction makes the commit of a plan. It names every row that the plan
// relies on, also where nothing is written: a refusal holds only if the view
// was right.
func (v *view) transaction(account string, made plan, operations []Operation) table.Transaction {
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
		held := v.reservations[operation.Job]
		transaction.Conditions = append(transaction.Conditions, table.Condition{Table: tableReservation, Key: operation.Job, Version: held.version})
		next, isChanged := made.changed[operation.Job]
		switch {
		case !isChanged || next == held.reservationRow:
			// Nothing is written.
		case next.Tokens > 0:
			transaction.Writes = append(transaction.Writes, table.Write{Table: tableReservation, Key: operation.Job, Value: encode(next)})
		case held.version != 0:
			transaction.Removals = append(transaction.Removals, table.Removal{Table: tableReservation, Key: operation.Job})
		}
	}
	if made.total != v.total {
		transaction.Writes = append(transaction.Writes, table.Write{Table: tableTotal, Key: keyTotal, Value: encode(made.total)})
	}
	return transaction
}

// noteRate tells all callers how fast the account empties.
func (p *plan) noteRate(perSecond float64) {
	for index := range p.outcomes {
		p.outcomes[index].FreedPerSecond = perSecond
	}
}

// viewRows bounds the rows that a view remembers. Forgotten ones are read again
// by a conflict.
const viewRows = 4096

// committed takes over a plan that was committed at a version.
func (v *view) committed(made plan, version table.Version) {
	if len(v.reservations) > viewRows {
		clear(v.reservations)
	}
	for _, write := range made.transaction.Writes {
		if write.Table == tableTotal {
			v.total, v.totalVersion = made.total, version
			continue
		}
		v.reservations[write.Key] = heldReservation{reservationRow: made.changed[write.Key], version: version}
	}
	for _, removal := range made.transaction.Removals {
		delete(v.reservations, removal.Key)
	}
}

// refresh takes over the rows that stood in the way of a transaction.
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
		held := heldReservation{version: row.Version}
		if err := decode(row, &held.reservationRow); err != nil {
			return err
		}
		v.reservations[condition.Key] = held
		if row.Version == 0 {
			delete(v.reservations, condition.Key)
		}
	}
	return nil
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // rows of numbers and texts can always be encoded
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
