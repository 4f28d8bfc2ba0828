package chutelimit

import (
	"cmp"
	"slices"
	"time"
)

// Reservation keeps free parts of a limit for one job that the limit holds back.
type Reservation struct {
	Accelerators int       `json:"accelerators"` // of the job; 0 means that there is no reservation
	Since        time.Time `json:"since"`        // when the job began to wait
	Covered      bool      `json:"covered"`      // a guarantee covers the job
	Urgent       bool      `json:"urgent"`
}

// Before reports whether the reservation takes precedence over the other one: that of a covered job, then that of an
// urgent job, then that of the job that has waited longer.
func (r Reservation) Before(other Reservation) bool {
	switch {
	case r.Covered != other.Covered:
		return r.Covered
	case r.Urgent != other.Urgent:
		return r.Urgent
	}
	return r.Since.Before(other.Since)
}

// Entry is what one shard has recorded in the ledger of a workspace. Only the owner of the shard changes it.
type Entry struct {
	Shard        int         `json:"shard"`
	Accelerators int         `json:"accelerators"` // the most that jobs of the workspace may hold on the shard
	Reserved     Reservation `json:"reserved"`
	Lacking      int         `json:"lacking"`   // accelerators that must still be allotted to the shard for the reservation's job
	Evictable    int         `json:"evictable"` // accelerators of jobs that may be stopped for a covered one
}

// equal reports whether the entries are equal. Times that were decoded differ in form from those that were not.
func (e Entry) equal(other Entry) bool {
	sameSince := e.Reserved.Since.Equal(other.Reserved.Since)
	e.Reserved.Since, other.Reserved.Since = time.Time{}, time.Time{}
	return sameSince && e == other
}

// Ledger records how the limit of one workspace is allotted to the shards. The accelerators of its entries never grow
// to a sum over the limit; the sum is over the limit only after the limit was lowered or introduced.
type Ledger struct {
	Workspace string  `json:"workspace"`
	Since     int     `json:"since"`   // Limit.Since of the document for which the entries are valid
	Version   int     `json:"version"` // Limit.Version of the document under which the ledger was last written
	Entries   []Entry `json:"entries"` // ordered by shard
}

// Terms are what the document in force says about the limit of a workspace.
type Terms struct {
	Accelerators int // the limit
	Since        int // version of the document that introduced the limit or changed the number of shards
	Version      int // version of the document that set the limit to its present value
	Shards       int
}

// Demand is what one shard has and needs of the limit of a workspace.
type Demand struct {
	Shard     int
	Use       int  // accelerators of jobs that were granted any
	Waiting   int  // accelerators of jobs that may start now
	Unneeded  bool // what is allotted beyond use and waiting has not been needed for some time
	Reserved  Reservation
	Evictable int
}

// Entry returns the entry of the shard, and false if it has none.
func (l Ledger) Entry(shard int) (Entry, bool) {
	index, ok := l.find(shard)
	if !ok {
		return Entry{Shard: shard}, false
	}
	return l.Entries[index], true
}

func (l Ledger) find(shard int) (int, bool) {
	return slices.BinarySearchFunc(l.Entries, shard, func(e Entry, s int) int { return cmp.Compare(e.Shard, s) })
}

// WithEntry returns the ledger with the entry added or replaced.
func (l Ledger) WithEntry(e Entry) Ledger {
	index, ok := l.find(e.Shard)
	l.Entries = slices.Clone(l.Entries)
	if ok {
		l.Entries[index] = e
	} else {
		l.Entries = slices.Insert(l.Entries, index, e)
	}
	return l
}

// Allotted returns the sum of the accelerators of all entries.
func (l Ledger) Allotted() int {
	sum := 0
	for _, e := range l.Entries {
		sum += e.Accelerators
	}
	return sum
}

// FirstReservation returns the entry whose reservation takes precedence, and false if no entry has one.
func (l Ledger) FirstReservation() (Entry, bool) {
	var first Entry
	for _, e := range l.Entries {
		if e.Reserved.Accelerators > 0 && (first.Reserved.Accelerators == 0 || e.Reserved.Before(first.Reserved)) {
			first = e
		}
	}
	return first, first.Reserved.Accelerators > 0
}

// Complete reports whether the ledger holds an entry of every shard under these terms. Before that, work that began
// without the limit may run unrecorded on a shard without an entry. An entry of a shard that the document no longer has
// counts what its last owner still has in use.
func (l Ledger) Complete(terms Terms) bool {
	shards := 0
	for _, e := range l.Entries {
		if e.Shard < terms.Shards {
			shards++
		}
	}
	return l.Since == terms.Since && shards == terms.Shards
}

// Room returns how many accelerators jobs on the shard may take now, if they hold that many in use already. It is 0
// while the ledger was not written under these terms, is incomplete, is over the limit after a reduction, or holds a
// reservation of another shard.
func (l Ledger) Room(terms Terms, shard, use int) int {
	e, _ := l.Entry(shard)
	if !l.Complete(terms) || l.Version != terms.Version || l.Allotted() > terms.Accelerators {
		return 0
	}
	if r, reserved := l.FirstReservation(); reserved && r.Shard != shard {
		return 0
	}
	return max(0, e.Accelerators-use)
}

// Next returns the ledger that the owner of the demand's shard must write next, and false if it need not write one or
// knows only a document that is older than the ledger.
func (l Ledger) Next(terms Terms, demand Demand) (Ledger, bool) {
	if l.Since > terms.Since || l.Version > terms.Version {
		return l, false
	}
	next := l
	if l.Since < terms.Since {
		next.Since, next.Entries = terms.Since, nil
	}
	next.Version = terms.Version
	e, recorded := next.Entry(demand.Shard)
	e.Reserved, e.Evictable = demand.Reserved, 0
	first, reserved := next.WithEntry(e).FirstReservation()
	reservedElsewhere := reserved && first.Shard != demand.Shard
	if reserved && first.Reserved.Covered {
		e.Evictable = demand.Evictable
	}
	others := next.Allotted() - e.Accelerators
	needed := demand.Use + demand.Waiting
	switch {
	case !recorded, reservedElsewhere, others+e.Accelerators > terms.Accelerators:
		e.Accelerators = demand.Use
	case e.Accelerators < needed:
		e.Accelerators = max(e.Accelerators, min(needed, terms.Accelerators-others))
	case demand.Unneeded:
		e.Accelerators = needed
	}
	e.Accelerators = max(e.Accelerators, demand.Use)
	e.Lacking = 0
	if e.Reserved.Accelerators > 0 {
		e.Lacking = max(0, demand.Use+e.Reserved.Accelerators-e.Accelerators)
	}
	next = next.WithEntry(e)
	changed := !recorded || next.Since != l.Since || next.Version != l.Version || !next.sameEntry(l, demand.Shard)
	return next, changed
}

// sameEntry reports whether the shard has the same entry in both ledgers.
func (l Ledger) sameEntry(other Ledger, shard int) bool {
	e, _ := l.Entry(shard)
	o, _ := other.Entry(shard)
	return e.equal(o)
}

// Missing returns how many accelerators the shard must free for the covered job that has the first reservation, and 0 if
// it need not free any. The shard of the job frees first; after it, the one with the most evictable accelerators.
func (l Ledger) Missing(terms Terms, shard int) int {
	first, reserved := l.FirstReservation()
	if !reserved || !first.Reserved.Covered || !l.Complete(terms) {
		return 0
	}
	evictor := first
	if first.Evictable == 0 {
		evictor = l.mostEvictable(first)
	}
	if evictor.Shard != shard {
		return 0
	}
	return max(0, first.Lacking-max(0, terms.Accelerators-l.Allotted()))
}

// mostEvictable returns the entry with the most evictable accelerators, and the given one if there are none.
func (l Ledger) mostEvictable(most Entry) Entry {
	for _, e := range l.Entries {
		if e.Evictable > most.Evictable {
			most = e
		}
	}
	return most
}
