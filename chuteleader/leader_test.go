package chuteleader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteleader"
)

var startTime = time.Unix(1_800_000_000, 0)

// desk plays one host's election by hand.
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

func (d *election) handle(act func(*chuteaction.Transition)) {
	t := chuteaction.NewTransition(d.now, d.token)
	act(t)
	d.token = t.LastToken()
	for _, effect := range t.Effects {
		if w, ok := effect.(chuteaction.WriteRows); ok {
			d.writes = append(d.writes, w)
		}
	}
}

func (d *election) deliverRows(rows ...chuteaction.Row) {
	d.handle(func(t *chuteaction.Transition) { d.state = d.state.HandleLeaderRows(t, rows) })
}

// pass lets time pass in small steps, with the store answering that nothing has changed.
func (d *election) advance(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(50 * time.Millisecond)
		d.deliverRows()
		d.handle(func(t *chuteaction.Transition) { d.state, d.outcome = d.state.Tick(t) })
		if d.outcome != chuteleader.OutcomeNone {
			return
		}
	}
}

func (d *election) finishWrite(outcome chuteaction.StoreOutcome, version chuteaction.RowVersion, current ...chuteaction.Row) {
	last := d.writes[len(d.writes)-1]
	d.handle(func(t *chuteaction.Transition) {
		d.state, d.outcome = d.state.HandleRowsWritten(t, chuteaction.RowsWritten{Token: last.Token, Outcome: outcome, Version: version, Current: current})
	})
}

func leaderRow(version chuteaction.RowVersion, row chuteaction.LeaderRow) chuteaction.Row {
	return chuteaction.Row{RowKey: chuteaction.LeaderKey(), Version: version, Value: row}
}

// elected returns a desk whose host leads.
func electedLeader(t *testing.T) *election {
	t.Helper()
	d := newElection()
	d.deliverRows()
	d.advance(time.Second)
	d.finishWrite(chuteaction.StoreDone, 10)
	if d.state.Role() != chuteleader.RoleLeader {
		t.Fatal("the host does not lead")
	}
	return d
}

func TestTakeoverNeedsASilentLeaderAndContactWithTheStore(t *testing.T) {
	other := chuteaction.LeaderRow{Epoch: 3, Host: "other", Process: "p"}
	cases := []struct {
		name string
		play func(*election)
		want bool
	}{
		{"no leader yet", func(d *election) { d.deliverRows(); d.advance(time.Second) }, true},
		{"no leader yet, and no news of other hosts", func(d *election) { d.deliverRows(); d.advance(300 * time.Millisecond) }, false},
		{"a silent leader, and larger hosts", func(d *election) {
			d.state = d.state.WithTakeoverDelay(time.Second)
			d.deliverRows(leaderRow(5, other))
			d.advance(2 * time.Second)
		}, false},
		{"a leader that writes", func(d *election) {
			for v := chuteaction.RowVersion(5); v < 15; v++ {
				d.deliverRows(leaderRow(v, other))
				d.advance(time.Second)
			}
		}, false},
		{"a leader that is silent", func(d *election) { d.deliverRows(leaderRow(5, other)); d.advance(3 * time.Second) }, true},
		{"a leader that has stopped", func(d *election) {
			released := other
			released.Released = true
			d.deliverRows(leaderRow(5, released))
			d.advance(200 * time.Millisecond)
		}, true},
		{"a store that does not answer", func(d *election) {
			d.deliverRows(leaderRow(5, other))
			for range 100 {
				d.now = d.now.Add(100 * time.Millisecond)
				d.handle(func(t *chuteaction.Transition) { d.state, _ = d.state.Tick(t) })
			}
		}, false},
		{"a process that has ended", func(d *election) {
			d.deliverRows(leaderRow(5, other))
			d.handle(func(t *chuteaction.Transition) { d.state = d.state.HandleProcess(t, "other", "q", 6) })
			d.advance(200 * time.Millisecond)
		}, true},
		{"a process that was recorded before the leader wrote", func(d *election) {
			d.deliverRows(leaderRow(5, other))
			d.handle(func(t *chuteaction.Transition) { d.state = d.state.HandleProcess(t, "other", "o", 4) })
			d.advance(time.Second)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newElection()
			c.play(d)
			is.Equal(len(d.writes) > 0, c.want)
		})
	}
}

func TestTakeoverIsConditionalOnTheObservedVersion(t *testing.T) {
	is := is.New(t)
	d := newElection()
	d.deliverRows(leaderRow(7, chuteaction.LeaderRow{Epoch: 3, Host: "other", Process: "p"}))
	d.advance(3 * time.Second)
	is.Equal(d.writes[0].Conditions[0].Version, chuteaction.RowVersion(7))
	is.Equal(d.writes[0].Put[0].Value.(chuteaction.LeaderRow).Epoch, int64(4))
	d.finishWrite(chuteaction.StoreConflict, 0, leaderRow(8, chuteaction.LeaderRow{Epoch: 3, Host: "other", Process: "p", Sequence: 9}))
	is.Equal(d.state.Role(), chuteleader.RoleFollower) // the other has written since
}

func TestWriteWithoutAnswerIsResentUnchanged(t *testing.T) {
	is := is.New(t)
	d := electedLeader(t)
	d.handle(func(t *chuteaction.Transition) { d.state = d.state.Write(t, nil, nil, nil) })
	first := d.writes[len(d.writes)-1]
	d.finishWrite(chuteaction.StoreUnknown, 0)
	d.advance(200 * time.Millisecond)
	second := d.writes[len(d.writes)-1]
	is.True(second.Token != first.Token)
	is.Equal(second.Conditions, first.Conditions)
	is.Equal(second.Put, first.Put)
	// The first had taken effect: the conflict shows our own row.
	d.finishWrite(chuteaction.StoreConflict, 0, leaderRow(12, first.Put[0].Value.(chuteaction.LeaderRow)))
	is.Equal(d.outcome, chuteleader.OutcomeCommitted)
	d.handle(func(t *chuteaction.Transition) { d.state = d.state.Write(t, nil, nil, nil) })
	is.Equal(d.writes[len(d.writes)-1].Conditions[0].Version, chuteaction.RowVersion(12))
}

func TestConflictWithAnotherLeaderDeposesTheLeader(t *testing.T) {
	is := is.New(t)
	d := electedLeader(t)
	d.handle(func(t *chuteaction.Transition) { d.state = d.state.Write(t, nil, nil, nil) })
	d.finishWrite(chuteaction.StoreConflict, 0, leaderRow(20, chuteaction.LeaderRow{Epoch: 2, Host: "other", Process: "p"}))
	is.Equal(d.outcome, chuteleader.OutcomeDeposed)
	is.Equal(d.state.Role(), chuteleader.RoleFollower)
}

func TestLeaderWithoutConfirmedWriteStepsDown(t *testing.T) {
	is := is.New(t)
	d := electedLeader(t)
	d.advance(chuteleader.UnconfirmedLimit - time.Second)
	is.Equal(d.state.Role(), chuteleader.RoleLeader)
	d.advance(2 * time.Second)
	is.Equal(d.outcome, chuteleader.OutcomeDeposed)
}
