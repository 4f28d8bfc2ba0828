package chutestandin

import (
	"slices"
	"strings"
	"sync"

	"monsoonchute.example/monsoonchute/chutestore"
	"monsoonchute.example/monsoonchute/chutetable"
)

// row is a stored value and its version.
type row struct {
	version chutetable.Version
	value   []byte
}

// Table is a transactional in-memory table. A transaction whose token was used before gets the outcome of the first
// transaction with this token.
type Table struct {
	mutex    sync.Mutex
	rows     map[chutetable.Key]row
	outcomes map[string]chutestore.Outcome
	version  chutetable.Version
	commits  int
	reads    int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[chutetable.Key]row), outcomes: make(map[string]chutestore.Outcome)}
}

// Commit applies the writes of the transaction if all its conditions hold, and returns the outcome.
func (t *Table) Commit(transaction chutestore.Transaction) chutestore.Outcome {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if outcome, repeated := t.outcomes[transaction.Token]; repeated {
		return outcome
	}
	t.commits++
	outcome := chutestore.Outcome{Accepted: t.conditionsHold(transaction), Versions: make(map[chutetable.Key]chutetable.Version)}
	if outcome.Accepted {
		t.version++
		for _, w := range transaction.Writes {
			t.write(w)
			outcome.Versions[w.Key] = t.version
		}
	}
	t.outcomes[transaction.Token] = outcome
	return outcome
}

func (t *Table) conditionsHold(transaction chutestore.Transaction) bool {
	for _, c := range transaction.Conditions {
		if t.rows[c.Key].version != c.Version {
			return false
		}
	}
	return true
}

func (t *Table) write(w chutestore.RowWrite) {
	if w.Value == nil {
		delete(t.rows, w.Key)
		return
	}
	t.rows[w.Key] = row{version: t.version, value: w.Value}
}

// Read returns the rows whose keys start with prefix, or with exact only the row whose key equals it, sorted by key.
func (t *Table) Read(prefix chutetable.Key, exact bool) []chutestore.StoredRow {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reads++
	found := []chutestore.StoredRow{}
	for key, r := range t.rows {
		if key == prefix || !exact && strings.HasPrefix(string(key), string(prefix)) {
			found = append(found, chutestore.StoredRow{Key: key, Version: r.version, Value: r.value})
		}
	}
	slices.SortFunc(found, func(a, b chutestore.StoredRow) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return found
}

// RequestCounts returns the numbers of transactions and reads that the table has served, without repeated
// transactions.
func (t *Table) RequestCounts() (commits, reads int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.commits, t.reads
}
