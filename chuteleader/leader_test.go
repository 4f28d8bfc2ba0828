package chuteleader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteleader"
)

var startTime = time.Unix(1_800_000_000, 0)

// election drives the election state of one host and records its writes.
type election struct {
	state   chuteleader.State
	now     time.Time
	token   chuteaction.Token
	writes  []chuteaction.WriteRows
	outcome chuteleader.Outcome
}

func newElection() *election {
	return &election{state: chuteleader.New("host", "process", 100*time.Millisecond), now: startTime}
}

func (e *election) handle(act func(*chuteaction.Transition)) {
	t := chuteaction.NewTransition(e.now, e.token)
	act(t)
	e.token = t.LastToken()
	for _, effect := range t.Effects {
		if w, ok := effect.(chuteaction.WriteRows); ok {
			e.writes = append(e.writes, w)
		}
	}
}

func (e *election) deliverRows(rows ...chuteaction.Row) {
	e.handle(func(t *chuteaction.Transition) { e.state = e.state.HandleLeaderRows(t, rows) })
}

// advance moves the time in steps of 50 ms, in each of which the store answers that nothing has changed. It stops at the
// first outcome.
func (e *election) advance(span time.Duration) {
	for end := e.now.Add(span); e.now.Before(end); {
		e.now = e.now.Add(50 * time.Millisecond)
		e.deliverRows()
		e.handle(func(t *chuteaction.Transition) { e.state, e.outcome = e.state.Tick(t) })
		if e.outcome != chuteleader.OutcomeNone {
			return
		}
	}
}

func (e *election) finishWrite(outcome chuteaction.StoreOutcome, version chuteaction.RowVersion, current ...chuteaction.Row) {
	last := e.writes[len(e.writes)-1]
	e.handle(func(t *chuteaction.Transition) {
		e.state, e.outcome = e.state.HandleRowsWritten(t, chuteaction.RowsWritten{Token: last.Token, Outcome: outcome, Version: version, Current: current})
	})
}

func leaderRow(version chuteaction.RowVersion, row chuteaction.LeaderRow) chuteaction.Row {
	return chuteaction.Row{RowKey: chuteaction.LeaderKey(), Version: version, Value: row}
}

// electedLeader returns an election that the host has won.
func electedLeader(t *testing.T) *election {
	t.Helper()
	e := newElection()
	e.deliverRows()
	e.advance(time.Second)
	e.finishWrite(chuteaction.StoreDone, 10)
	if e.state.Role() != chuteleader.RoleLeader {
		t.Fatal("the host does not lead")
	}
	return e
}

func TestTakeoverNeedsASilentLeaderAndContactWithTheStore(t *testing.T) {
	other := chuteaction.LeaderRow{Epoch: 3, Host: "other", Process: "p"}
	cases := []struct {
		name string
		run  func(*election)
		want bool
	}{
		{"no leader yet", func(e *election) { e.deliverRows(); e.advance(time.Second) }, true},
		{"no leader yet, and rows of other hosts may be missing", func(e *election) { e.deliverRows(); e.advance(300 * time.Millisecond) }, false},
		{"a silent leader, while larger hosts exist", func(e *election) {
			e.state = e.state.WithTakeoverDelay(time.Second)
			e.deliverRows(leaderRow(5, other))
			e.advance(2 * time.Second)
		}, false},
		{"a leader that writes", func(e *election) {
			for v := chuteaction.RowVersion(5); v < 15; v++ {
				e.deliverRows(leaderRow(v, other))
				e.advance(time.Second)
			}
		}, false},
		{"a leader that is silent", func(e *election) { e.deliverRows(leaderRow(5, other)); e.advance(3 * time.Second) }, true},
		{"a leader that has released the leadership", func(e *election) {
			released := other
			released.Released = true
			e.deliverRows(leaderRow(5, released))
			e.advance(200 * time.Millisecond)
		}, true},
		{"a store that does not answer", func(e *election) {
			e.deliverRows(leaderRow(5, other))
			for range 100 {
				e.now = e.now.Add(100 * time.Millisecond)
				e.handle(func(t *chuteaction.Transition) { e.state, _ = e.state.Tick(t) })
			}
		}, false},
		{"a leader whose process has ended", func(e *election) {
			e.deliverRows(leaderRow(5, other))
			e.handle(func(t *chuteaction.Transition) { e.state = e.state.HandleProcess(t, "other", "q", 6) })
			e.advance(200 * time.Millisecond)
		}, true},
		{"a process recorded before the leader's latest write", func(e *election) {
			e.deliverRows(leaderRow(5, other))
			e.handle(func(t *chuteaction.Transition) { e.state = e.state.HandleProcess(t, "other", "o", 4) })
			e.advance(time.Second)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newElection()
			c.run(e)
			is.Equal(len(e.writes) > 0, c.want)
		})
	}
}

func TestTakeoverIsConditionalOnTheObservedVersion(t *testing.T) {
	is := is.New(t)
	e := newElection()
	e.deliverRows(leaderRow(7, chuteaction.LeaderRow{Epoch: 3, Host: "other", Process: "p"}))
	e.advance(3 * time.Second)
	is.Equal(e.writes[0].Conditions[0].Version, chuteaction.RowVersion(7))
	is.Equal(e.writes[0].Put[0].Value.(chuteaction.LeaderRow).Epoch, int64(4))
	e.finishWrite(chuteaction.StoreConflict, 0, leaderRow(8, chuteaction.LeaderRow{Epoch: 3, Host: "other", Process: "p", Sequence: 9}))
	is.Equal(e.state.Role(), chuteleader.RoleFollower) // the leader has written since
}

func TestWriteWithoutAnswerIsResentUnchanged(t *testing.T) {
	is := is.New(t)
	e := electedLeader(t)
	e.handle(func(t *chuteaction.Transition) { e.state = e.state.Write(t, nil, chuteleader.Report{}) })
	first := e.writes[len(e.writes)-1]
	e.finishWrite(chuteaction.StoreUnknown, 0)
	e.advance(200 * time.Millisecond)
	second := e.writes[len(e.writes)-1]
	is.True(second.Token != first.Token)
	is.Equal(second.Conditions, first.Conditions)
	is.Equal(second.Put, first.Put)
	// The first attempt had committed: the conflict returns the row that this host wrote.
	e.finishWrite(chuteaction.StoreConflict, 0, leaderRow(12, first.Put[0].Value.(chuteaction.LeaderRow)))
	is.Equal(e.outcome, chuteleader.OutcomeCommitted)
	e.handle(func(t *chuteaction.Transition) { e.state = e.state.Write(t, nil, chuteleader.Report{}) })
	is.Equal(e.writes[len(e.writes)-1].Conditions[0].Version, chuteaction.RowVersion(12))
}

func TestConflictWithAnotherLeaderDeposesTheLeader(t *testing.T) {
	is := is.New(t)
	e := electedLeader(t)
	e.handle(func(t *chuteaction.Transition) { e.state = e.state.Write(t, nil, chuteleader.Report{}) })
	e.finishWrite(chuteaction.StoreConflict, 0, leaderRow(20, chuteaction.LeaderRow{Epoch: 2, Host: "other", Process: "p"}))
	is.Equal(e.outcome, chuteleader.OutcomeDeposed)
	is.Equal(e.state.Role(), chuteleader.RoleFollower)
}

func TestLeaderWithoutConfirmedWriteStepsDown(t *testing.T) {
	is := is.New(t)
	e := electedLeader(t)
	e.advance(chuteleader.UnconfirmedLimit - time.Second)
	is.Equal(e.state.Role(), chuteleader.RoleLeader)
	e.advance(2 * time.Second)
	is.Equal(e.outcome, chuteleader.OutcomeDeposed)
}

// TestARowThatNoLeaderHasWrittenIsWrittenOver guards against hosts none of which leads again, and epochs that workers have refused.
func TestARowThatNoLeaderHasWrittenIsWrittenOver(t *testing.T) {
	odd := chuteaction.Row{RowKey: chuteaction.LeaderKey(), Version: 90}
	deleted := chuteaction.Row{RowKey: chuteaction.LeaderKey(), Version: 90, Deleted: true}
	for name, c := range map[string]struct {
		current []chuteaction.Row
		version chuteaction.RowVersion
		epoch   int64
	}{
		"unreadable":           {current: []chuteaction.Row{odd}, version: 90, epoch: 91},
		"impossible epoch":     {current: []chuteaction.Row{leaderRow(90, chuteaction.LeaderRow{Epoch: 1 << 62})}, version: 90, epoch: 91},
		"deleted":              {epoch: 2},
		"deleted, as the feed": {current: []chuteaction.Row{deleted}, epoch: 91},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := electedLeader(t)
			e.handle(func(t *chuteaction.Transition) { e.state = e.state.Write(t, nil, chuteleader.Report{}) })
			e.finishWrite(chuteaction.StoreConflict, 0, c.current...)
			is.Equal(e.outcome, chuteleader.OutcomeDeposed)
			e.advance(3 * time.Second)
			last := e.writes[len(e.writes)-1]
			is.Equal(last.Conditions[0].Version, c.version)
			is.Equal(last.Put[0].Value.(chuteaction.LeaderRow).Epoch, c.epoch)
		})
	}
}

// TestAFencedLeaderGoesOnOnlyWithAProof guards against leaders that give up for one worker, and against those that go on beside another.
func TestAFencedLeaderGoesOnOnlyWithAProof(t *testing.T) {
	for name, c := range map[string]struct {
		writes  bool
		outcome chuteaction.StoreOutcome
		leads   bool
	}{
		"write succeeds":  {writes: true, outcome: chuteaction.StoreDone, leads: true},
		"write conflicts": {writes: true, outcome: chuteaction.StoreConflict},
		"no answer":       {writes: true, outcome: chuteaction.StoreUnknown},
		"no write":        {},
	} {
		t.Run(name, func(t *testing.T) {
			e := electedLeader(t)
			e.handle(func(t *chuteaction.Transition) { e.state = e.state.HandleFenced(t) })
			e.now = e.now.Add(100 * time.Millisecond)
			if c.writes {
				e.handle(func(t *chuteaction.Transition) { e.state = e.state.Write(t, nil, chuteleader.Report{}) })
				e.finishWrite(c.outcome, 20, leaderRow(20, chuteaction.LeaderRow{Epoch: 2, Host: "other", Process: "p"}))
			}
			if e.outcome != chuteleader.OutcomeDeposed {
				e.advance(1500 * time.Millisecond)
			}
			is.New(t).Equal(e.state.Role() == chuteleader.RoleLeader, c.leads)
		})
	}
}

// TestAWriteFromBeforeTheFenceIsNoProof guards against a deposed leader that takes its last write for a later one.
func TestAWriteFromBeforeTheFenceIsNoProof(t *testing.T) {
	e := electedLeader(t)
	e.handle(func(t *chuteaction.Transition) { e.state = e.state.Write(t, nil, chuteleader.Report{}) })
	e.now = e.now.Add(10 * time.Millisecond)
	e.handle(func(t *chuteaction.Transition) { e.state = e.state.HandleFenced(t) })
	e.finishWrite(chuteaction.StoreDone, 20)
	e.advance(1500 * time.Millisecond)
	is.New(t).Equal(e.state.Role(), chuteleader.RoleFollower)
}

// TestAWriteAfterARejectedOneIsTakenForNoOther guards against rows that count as recorded since a write that was taken as rejected was
// carried out late under the same sequence.
func TestAWriteAfterARejectedOneIsTakenForNoOther(t *testing.T) {
	is := is.New(t)
	e := electedLeader(t)
	write := func() {
		e.handle(func(t *chuteaction.Transition) { e.state = e.state.Write(t, nil, chuteleader.Report{}) })
	}
	write()
	rejected, ok := e.writes[len(e.writes)-1].Put[0].Value.(chuteaction.LeaderRow)
	is.True(ok)
	e.finishWrite(chuteaction.StoreRejected, 0)
	is.Equal(e.outcome, chuteleader.OutcomeRejected)
	is.True(!e.state.MayWrite(e.now))
	e.now = e.now.Add(time.Second)
	is.True(e.state.MayWrite(e.now))
	write()
	e.finishWrite(chuteaction.StoreConflict, 0, leaderRow(99, rejected))
	is.Equal(e.outcome, chuteleader.OutcomeDeposed)
}
