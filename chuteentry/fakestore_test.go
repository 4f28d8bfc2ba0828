package chuteentry_test

import (
	"cmp"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// fakeStore keeps rows and their history, and can be down, lose answers or carry writes out late.
type fakeStore struct {
	world   *world
	rows    map[chuteaction.RowKey]chuteaction.Row
	history []chuteaction.Row
	version chuteaction.RowVersion
	down    bool
	mute    bool    // followers hear of no changes
	lost    float64 // share of the writes whose answer is lost
	late    float64 // share of those that are carried out late
	oldest  chuteaction.RowVersion
}

func newFakeStore(w *world) *fakeStore {
	return &fakeStore{world: w, rows: make(map[chuteaction.RowKey]chuteaction.Row)}
}

const storeDelay = 8 * time.Millisecond

func (s *fakeStore) put(key chuteaction.RowKey, value chuteaction.RowValue) {
	s.version++
	s.enter(chuteaction.Row{RowKey: key, Version: s.version, Value: value})
}

func (s *fakeStore) drop(key chuteaction.RowKey, last chuteaction.RowValue) {
	s.version++
	delete(s.rows, key)
	s.history = append(s.history, chuteaction.Row{RowKey: key, Version: s.version, Deleted: true, Value: last})
}

func (s *fakeStore) enter(r chuteaction.Row) {
	s.rows[r.RowKey] = r
	s.history = append(s.history, r)
}

func (s *fakeStore) unreachable(h *fakeHost) bool {
	return s.down || h.cut
}

func (s *fakeStore) write(h *fakeHost, f chuteaction.WriteRows) {
	w := s.world
	if s.unreachable(h) {
		outcome := chuteaction.StoreRefused
		if h.cut {
			outcome = chuteaction.StoreUnknown
		}
		w.after(w.delay(50*time.Millisecond), func() { h.deliver(chuteaction.RowsWritten{Token: f.Token, Outcome: outcome}) })
		return
	}
	if w.chance(s.lost) {
		when := w.delay(storeDelay)
		if w.chance(s.late) {
			when = w.delay(3 * time.Second)
		}
		w.after(when, func() { s.commit(f) })
		w.after(1200*time.Millisecond, func() {
			h.deliver(chuteaction.RowsWritten{Token: f.Token, Outcome: chuteaction.StoreUnknown})
		})
		return
	}
	w.after(w.delay(storeDelay), func() {
		written := s.commit(f)
		w.after(w.delay(storeDelay), func() { h.deliver(written) })
	})
}

func (s *fakeStore) commit(f chuteaction.WriteRows) chuteaction.RowsWritten {
	written := chuteaction.RowsWritten{Token: f.Token, Outcome: chuteaction.StoreDone}
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
		s.enter(r)
	}
	return written
}

func (s *fakeStore) read(h *fakeHost, f chuteaction.ReadRows) {
	w := s.world
	w.after(w.delay(storeDelay), func() {
		read := chuteaction.RowsRead{Token: f.Token, Outcome: chuteaction.StoreRefused}
		if !s.unreachable(h) {
			read.Outcome = chuteaction.StoreDone
			read.Rows = s.between(f.Table, f.Partition, f.From, f.To)
		}
		w.after(w.delay(storeDelay), func() { h.deliver(read) })
	})
}

func (s *fakeStore) between(table chuteaction.Table, part, from, to string) []chuteaction.Row {
	var rows []chuteaction.Row
	for key, r := range s.rows {
		if key.Table == table && key.Partition == part && key.Key >= from && (to == "" || key.Key < to) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b chuteaction.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

// list tells a follower all rows of a table, and then its changes.
func (s *fakeStore) list(h *fakeHost, f chuteaction.WatchTable, generation int) {
	w := s.world
	w.after(w.delay(storeDelay), func() {
		if h.dead || h.follows[f.Table] != generation {
			return
		}
		if s.unreachable(h) {
			h.deliver(chuteaction.TableUnavailable{Table: f.Table})
			w.after(200*time.Millisecond, func() { s.list(h, f, generation) })
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
		h.deliver(chuteaction.TableChanged{Table: f.Table, Complete: true, Rows: rows})
		w.after(max(f.MinInterval, time.Millisecond), func() { s.follow(h, f, generation, version, w.now) })
	})
}

func (s *fakeStore) follow(h *fakeHost, f chuteaction.WatchTable, generation int, after chuteaction.RowVersion, asked time.Time) {
	w := s.world
	if h.dead || h.follows[f.Table] != generation {
		return
	}
	if s.unreachable(h) {
		h.deliver(chuteaction.TableUnavailable{Table: f.Table})
		w.after(200*time.Millisecond, func() { s.follow(h, f, generation, after, w.now) })
		return
	}
	if after < s.oldest {
		s.list(h, f, generation)
		return
	}
	rows := s.changes(f.Table, after)
	if s.mute {
		rows = nil
	}
	if len(rows) == 0 && w.now.Sub(asked) < f.PollTimeout {
		w.after(10*time.Millisecond, func() { s.follow(h, f, generation, after, asked) })
		return
	}
	version := s.version
	if s.mute {
		version = after
	}
	w.after(w.delay(storeDelay), func() {
		if h.follows[f.Table] != generation {
			return
		}
		h.deliver(chuteaction.TableChanged{Table: f.Table, Rows: rows})
		w.after(max(f.MinInterval, time.Millisecond), func() { s.follow(h, f, generation, version, w.now) })
	})
}

func (s *fakeStore) changes(table chuteaction.Table, after chuteaction.RowVersion) []chuteaction.Row {
	at, _ := slices.BinarySearchFunc(s.history, after+1, func(r chuteaction.Row, v chuteaction.RowVersion) int { return cmp.Compare(r.Version, v) })
	var rows []chuteaction.Row
	for _, r := range s.history[at:] {
		if r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows
}
