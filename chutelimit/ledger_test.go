package chutelimit_test

import (
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutelimit"
)

var terms = chutelimit.Terms{Accelerators: 8, Since: 2, Version: 3, Shards: 2}

// ledger returns a ledger under the terms with these accelerators allotted to the shards 0, 1 and so on.
func ledger(accelerators ...int) chutelimit.Ledger {
	l := chutelimit.Ledger{Workspace: "w", Since: 2, Version: 3}
	for shard, n := range accelerators {
		l = l.WithEntry(chutelimit.Entry{Shard: shard, Accelerators: n})
	}
	return l
}

// TestNoRoomOutsideTheTerms guards against starts under a ledger that does not show all that a workspace has in use, or
// that was written under another limit.
func TestNoRoomOutsideTheTerms(t *testing.T) {
	reserved := ledger(4, 2).WithEntry(chutelimit.Entry{Shard: 1, Reserved: chutelimit.Reservation{Accelerators: 8}})
	earlier, later, older := ledger(4, 2), ledger(4, 2), ledger(4, 2)
	earlier.Since, later.Version, older.Version = 1, 4, 2
	for name, c := range map[string]struct {
		ledger chutelimit.Ledger
		room   int
	}{
		"allotted": {ledger(4, 2), 3}, "shard not recorded": {ledger(4), 0}, "shard that no longer exists": {ledger(4, 2, 1), 3},
		"over the limit": {ledger(4, 5), 0}, "reserved elsewhere": {reserved, 0}, "earlier limit": {earlier, 0},
		"newer document": {later, 0}, "older document": {older, 0},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.ledger.Room(terms, 0, 1), c.room) })
	}
}

// TestEntriesGrowWithinTheLimit guards against a sum of the entries that grows beyond the limit, and against an entry
// under what is in use.
func TestEntriesGrowWithinTheLimit(t *testing.T) {
	for name, c := range map[string]struct {
		ledger    chutelimit.Ledger
		demand    chutelimit.Demand
		allotment int
	}{
		"takes what it needs": {ledger(0, 2), chutelimit.Demand{Use: 0, Waiting: 4}, 4}, "takes what is left": {ledger(2, 3), chutelimit.Demand{Use: 2, Waiting: 9}, 5},
		"keeps what was needed lately": {ledger(4, 0), chutelimit.Demand{Use: 1}, 4}, "gives back": {ledger(4, 0), chutelimit.Demand{Use: 1, Unneeded: true}, 1},
		"gives back over the limit": {ledger(6, 6), chutelimit.Demand{Use: 2, Waiting: 4}, 2}, "records what runs": {ledger(), chutelimit.Demand{Use: 9}, 9},
	} {
		t.Run(name, func(t *testing.T) {
			next, _ := c.ledger.Next(terms, c.demand)
			e, _ := next.Entry(0)
			is.New(t).Equal(e.Accelerators, c.allotment)
		})
	}
}
