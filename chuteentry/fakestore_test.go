package chuteentry_test

import (
	"cmp"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuterow"
)

// fakeStore keeps rows and their history. It can be down, lose answers and commit writes late.
type fakeStore struct {
	sim            *simulation
	rows           map[chuteaction.RowKey]chuteaction.Row
	history        []chuteaction.Row
	version        chuteaction.RowVersion
	down           bool
	hidesChanges   bool                                   // watchers get no changes
	lostAnswerRate float64                                // fraction of writes whose answer is lost
	delayedRate    float64                                // fraction of those that are committed late
	oldestVersion  chuteaction.RowVersion                 // a poll for changes after an earlier version gets all rows of its table instead
	chooseFault    func(chuteaction.WriteRows) writeFault // called for each write; may be nil
	rejects        func(chuteaction.Row) bool             // rows that are never written; may be nil
}

// writeFault is what becomes of a write.
type writeFault int

const (
	writeAnswered writeFault = iota
	writeLost                // committed without an answer
	writeLate                // committed lateWriteDelay later without an answer
	writeRefused             // not committed
	writeFaults              // number of the above
)

// lateWriteDelay is how much later a late write is committed.
const lateWriteDelay = 4 * time.Second

func newFakeStore(sm *simulation) *fakeStore {
	return &fakeStore{sim: sm, rows: make(map[chuteaction.RowKey]chuteaction.Row)}
}

func (s *fakeStore) clock() time.Duration {
	return time.Duration(s.sim.now.UnixNano())
}

const storeDelay = 8 * time.Millisecond

func (s *fakeStore) put(key chuteaction.RowKey, value chuteaction.RowValue) {
	s.version++
	s.setRow(chuteaction.Row{RowKey: key, Version: s.version, Value: value})
}

func (s *fakeStore) deleteRow(key chuteaction.RowKey, last chuteaction.RowValue) {
	s.version++
	delete(s.rows, key)
	s.history = append(s.history, chuteaction.Row{RowKey: key, Version: s.version, Deleted: true, Value: last})
}

func (s *fakeStore) setRow(r chuteaction.Row) {
	s.rows[r.RowKey] = r
	s.history = append(s.history, r)
}

func (s *fakeStore) unreachable(h *fakeHost) bool {
	return s.down || h.disconnected
}

// unwatchable reports whether the host gets no answer about the table.
func (s *fakeStore) unwatchable(h *fakeHost, table chuteaction.Table) bool {
	return s.unreachable(h) || h.silentTable == table
}

func (s *fakeStore) write(h *fakeHost, f chuteaction.WriteRows) {
	sm := s.sim
	if s.unreachable(h) {
		outcome := chuteaction.StoreRefused
		if h.disconnected {
			outcome = chuteaction.StoreUnknown
		}
		sm.after(sm.jittered(50*time.Millisecond), func() { h.deliver(chuteaction.RowsWritten{Token: f.Token, Outcome: outcome}) })
		return
	}
	if sm.chance(s.lostAnswerRate) {
		when := sm.jittered(storeDelay)
		if sm.chance(s.delayedRate) {
			when = sm.jittered(3 * time.Second)
		}
		s.commitUnanswered(h, f, when)
		return
	}
	if s.chooseFault != nil && s.carryOutFault(h, f) {
		return
	}
	sm.after(sm.jittered(storeDelay), func() {
		written := s.commit(f)
		sm.after(sm.jittered(storeDelay), func() { h.deliver(written) })
	})
}

// commitUnanswered commits a write after the delay, without an answer.
func (s *fakeStore) commitUnanswered(h *fakeHost, f chuteaction.WriteRows, delay time.Duration) {
	s.sim.after(delay, func() { s.commit(f) })
	s.sim.after(1200*time.Millisecond, func() {
		h.deliver(chuteaction.RowsWritten{Token: f.Token, Outcome: chuteaction.StoreUnknown})
	})
}

// carryOutFault lets the chosen fault befall a write, and reports whether there is one.
func (s *fakeStore) carryOutFault(h *fakeHost, f chuteaction.WriteRows) bool {
	switch s.chooseFault(f) {
	case writeLost:
		s.commitUnanswered(h, f, s.sim.jittered(storeDelay))
	case writeLate:
		s.commitUnanswered(h, f, lateWriteDelay)
	case writeRefused:
		s.sim.after(storeDelay, func() { h.deliver(chuteaction.RowsWritten{Token: f.Token, Outcome: chuteaction.StoreRefused}) })
	case writeAnswered, writeFaults:
		return false
	}
	return true
}

// tooLarge reports whether the store refuses a row for its size.
func tooLarge(r chuteaction.Row) bool {
	if r.Table != chuteaction.TableProgress && r.Table != chuteaction.TableLeaders {
		return false
	}
	if progress, ok := r.Value.(chuteaction.ProgressRow); ok && taskCount(progress) < 150 { // it is small in any case
		return false
	}
	body, err := chuterow.Encode(r.Value)
	return err != nil || len(body) > chutegraph.MaxRowBytes
}

func taskCount(progress chuteaction.ProgressRow) int {
	tasks := 0
	for _, steps := range progress.Occurrences {
		for _, s := range steps {
			tasks += len(s)
		}
	}
	return tasks
}

func (s *fakeStore) commit(f chuteaction.WriteRows) chuteaction.RowsWritten {
	written := chuteaction.RowsWritten{Token: f.Token, Outcome: chuteaction.StoreDone}
	if slices.ContainsFunc(f.Put, tooLarge) || s.rejects != nil && slices.ContainsFunc(f.Put, s.rejects) {
		written.Outcome = chuteaction.StoreRejected
		return written
	}
	for _, c := range f.Conditions {
		row, ok := s.rows[c.RowKey]
		if ok {
			written.Current = append(written.Current, row)
		}
		if row.Version != c.Version {
			written.Outcome = chuteaction.StoreConflict
		}
	}
	if written.Outcome == chuteaction.StoreConflict {
		return written
	}
	written.Current = nil
	s.version++
	written.Version = s.version
	for _, r := range f.Put {
		r.Version = s.version
		s.setRow(r)
	}
	return written
}

func (s *fakeStore) read(h *fakeHost, f chuteaction.ReadRows) {
	sm := s.sim
	sm.after(sm.jittered(storeDelay), func() {
		read := chuteaction.RowsRead{Token: f.Token, Outcome: chuteaction.StoreRefused}
		if !s.unreachable(h) {
			read.Outcome = chuteaction.StoreDone
			read.Rows = s.rowsBetween(f.Table, f.Partition, f.From, f.To)
		}
		sm.after(sm.jittered(storeDelay), func() { h.deliver(read) })
	})
}

func (s *fakeStore) rowsBetween(table chuteaction.Table, partition, from, to string) []chuteaction.Row {
	var rows []chuteaction.Row
	for key, r := range s.rows {
		if key.Table == table && key.Partition == partition && key.Key >= from && (to == "" || key.Key < to) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b chuteaction.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

// list sends all rows of a table to a watching host, and then polls for changes.
func (s *fakeStore) list(h *fakeHost, f chuteaction.WatchTable, generation int) {
	sm := s.sim
	sentAt := sm.now
	sm.after(sm.jittered(storeDelay), func() {
		if h.dead || h.watches[f.Table] != generation {
			return
		}
		if s.unwatchable(h, f.Table) {
			h.deliver(chuteaction.TableUnavailable{Table: f.Table})
			sm.after(200*time.Millisecond, func() { s.list(h, f, generation) })
			return
		}
		var rows []chuteaction.Row
		for key, r := range s.rows {
			if key.Table == f.Table {
				rows = append(rows, r)
			}
		}
		slices.SortFunc(rows, func(a, b chuteaction.Row) int { return cmp.Compare(a.Version, b.Version) })
		version := s.version
		h.deliver(chuteaction.TableChanged{Watch: f.Watch, Table: f.Table, SentAt: sentAt, StoreClock: s.clock(), Complete: true, Rows: rows})
		sm.after(max(f.MinInterval, time.Millisecond), func() { s.poll(h, f, generation, version, sm.now) })
	})
}

func (s *fakeStore) poll(h *fakeHost, f chuteaction.WatchTable, generation int, after chuteaction.RowVersion, startedAt time.Time) {
	sm := s.sim
	if h.dead || h.watches[f.Table] != generation {
		return
	}
	if s.unwatchable(h, f.Table) {
		h.deliver(chuteaction.TableUnavailable{Table: f.Table})
		sm.after(200*time.Millisecond, func() { s.poll(h, f, generation, after, sm.now) })
		return
	}
	if after < s.oldestVersion {
		s.list(h, f, generation)
		return
	}
	rows := s.changes(f.Table, after)
	if s.hidesChanges {
		rows = nil
	}
	if len(rows) == 0 && sm.now.Sub(startedAt) < f.PollTimeout {
		sm.after(10*time.Millisecond, func() { s.poll(h, f, generation, after, startedAt) })
		return
	}
	version, clock := s.version, s.clock()
	if s.hidesChanges {
		version = after
	}
	sm.after(sm.jittered(storeDelay), func() {
		if h.watches[f.Table] != generation {
			return
		}
		h.deliver(chuteaction.TableChanged{Watch: f.Watch, Table: f.Table, SentAt: startedAt, HeldFor: f.PollTimeout, StoreClock: clock, Rows: rows})
		sm.after(max(f.MinInterval, time.Millisecond), func() { s.poll(h, f, generation, version, sm.now) })
	})
}

func (s *fakeStore) changes(table chuteaction.Table, after chuteaction.RowVersion) []chuteaction.Row {
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(r chuteaction.Row, v chuteaction.RowVersion) int { return cmp.Compare(r.Version, v) })
	var rows []chuteaction.Row
	for _, r := range s.history[first:] {
		if r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows
}
