package chuteleader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteleader"
)

var epochStart = time.Unix(1_800_000_000, 0)

// desk plays one host's election by hand.
type desk struct {
	state   chuteleader.State
	now     time.Time
	token   chuteaction.Token
	writes  []chuteaction.WriteRows
	verdict chuteleader.Outcome
}

func newDesk() *desk {
	return &desk{state: chuteleader.New("host", "process", 100*time.Millisecond), now: epochStart}
}

func (d *desk) turn(act func(*chuteaction.Transition)) {
	t := chuteaction.NewTransition(d.now, d.token)
	act(t)
	d.token = t.LastToken()
	for _, effect := range t.Effects {
		if w, ok := effect.(chuteaction.WriteRows); ok {
			d.writes = append(d.writes, w)
		}
	}
}

func (d *desk) news(rows ...chuteaction.Row) {
	d.turn(func(t *chuteaction.Transition) { d.state = d.state.HandleLeaderRows(t, rows) })
}

// pass lets time pass in small steps, with the store answering that nothing has changed.
func (d *desk) pass(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(50 * time.Millisecond)
		d.news()
		d.turn(func(t *chuteaction.Transition) { d.state, d.verdict = d.state.Tick(t) })
		if d.verdict != chuteleader.OutcomeNone {
			return
		}
	}
}

func (d *desk) written(outcome chuteaction.StoreOutcome, version chuteaction.RowVersion, current ...chuteaction.Row) {
	last := d.writes[len(d.writes)-1]
	d.turn(func(t *chuteaction.Transition) {
		d.state, d.verdict = d.state.HandleRowsWritten(t, chuteaction.RowsWritten{Token: last.Token, Outcome: outcome, Version: version, Current: current})
	})
}

func leaderRow(version chuteaction.RowVersion, row chuteaction.LeaderRow) chuteaction.Row {
	return chuteaction.Row{RowKey: chuteaction.LeaderKey(), Version: version, Value: row}
}

// elected returns a desk whose host leads.
func elected(t *testing.T) *desk {
	t.Helper()
	d := newDesk()
	d.news()
	d.pass(time.Second)
	d.written(chuteaction.StoreDone, 10)
	if d.state.Role() != chuteleader.RoleLeader {
		t.Fatal("the host does not lead")
	}
	return d
}

func TestTakeoverNeedsSilenceAndContact(t *testing.T) {
	other := chuteaction.LeaderRow{Epoch: 3, Host: "other", Process: "p"}
	cases := []struct {
		name string
		play func(*desk)
		want bool
	}{
		{"no leader yet", func(d *desk) { d.news(); d.pass(time.Second) }, true},
		{"no leader yet, and no news of other hosts", func(d *desk) { d.news(); d.pass(300 * time.Millisecond) }, false},
		{"a silent leader, and larger hosts", func(d *desk) {
			d.state = d.state.WithTakeoverDelay(time.Second)
			d.news(leaderRow(5, other))
			d.pass(2 * time.Second)
		}, false},
		{"a leader that writes", func(d *desk) {
			for v := chuteaction.RowVersion(5); v < 15; v++ {
				d.news(leaderRow(v, other))
				d.pass(time.Second)
			}
		}, false},
		{"a leader that is silent", func(d *desk) { d.news(leaderRow(5, other)); d.pass(3 * time.Second) }, true},
		{"a leader that has stopped", func(d *desk) {
			released := other
			released.Released = true
			d.news(leaderRow(5, released))
			d.pass(200 * time.Millisecond)
		}, true},
		{"a store that does not answer", func(d *desk) {
			d.news(leaderRow(5, other))
			for range 100 {
				d.now = d.now.Add(100 * time.Millisecond)
				d.turn(func(t *chuteaction.Transition) { d.state, _ = d.state.Tick(t) })
			}
		}, false},
		{"a process that has ended", func(d *desk) {
			d.news(leaderRow(5, other))
			d.turn(func(t *chuteaction.Transition) { d.state = d.state.HandleProcess(t, "other", "q", 6) })
			d.pass(200 * time.Millisecond)
		}, true},
		{"a process that was recorded before the leader wrote", func(d *desk) {
			d.news(leaderRow(5, other))
			d.turn(func(t *chuteaction.Transition) { d.state = d.state.HandleProcess(t, "other", "o", 4) })
			d.pass(time.Second)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk()
			c.play(d)
			is.Equal(len(d.writes) > 0, c.want)
		})
	}
}

func TestTakeoverIsConditionalOnWhatWasSeen(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	d.news(leaderRow(7, chuteaction.LeaderRow{Epoch: 3, Host: "other", Process: "p"}))
	d.pass(3 * time.Second)
	is.Equal(d.writes[0].Conditions[0].Version, chuteaction.RowVersion(7))
	is.Equal(d.writes[0].Put[0].Value.(chuteaction.LeaderRow).Epoch, int64(4))
	d.written(chuteaction.StoreConflict, 0, leaderRow(8, chuteaction.LeaderRow{Epoch: 3, Host: "other", Process: "p", Sequence: 9}))
	is.Equal(d.state.Role(), chuteleader.RoleFollower) // the other has written since
}

func TestWriteWithoutAnswerIsSentAgainAsItIs(t *testing.T) {
	is := is.New(t)
	d := elected(t)
	d.turn(func(t *chuteaction.Transition) { d.state = d.state.Write(t, nil, nil, nil) })
	first := d.writes[len(d.writes)-1]
	d.written(chuteaction.StoreUnknown, 0)
	d.pass(200 * time.Millisecond)
	second := d.writes[len(d.writes)-1]
	is.True(second.Token != first.Token)
	is.Equal(second.Conditions, first.Conditions)
	is.Equal(second.Put, first.Put)
	// The first had taken effect: the conflict shows our own row.
	d.written(chuteaction.StoreConflict, 0, leaderRow(12, first.Put[0].Value.(chuteaction.LeaderRow)))
	is.Equal(d.verdict, chuteleader.OutcomeCommitted)
	d.turn(func(t *chuteaction.Transition) { d.state = d.state.Write(t, nil, nil, nil) })
	is.Equal(d.writes[len(d.writes)-1].Conditions[0].Version, chuteaction.RowVersion(12))
}

func TestLeaderIsDeposedByAnothersRow(t *testing.T) {
	is := is.New(t)
	d := elected(t)
	d.turn(func(t *chuteaction.Transition) { d.state = d.state.Write(t, nil, nil, nil) })
	d.written(chuteaction.StoreConflict, 0, leaderRow(20, chuteaction.LeaderRow{Epoch: 2, Host: "other", Process: "p"}))
	is.Equal(d.verdict, chuteleader.OutcomeDeposed)
	is.Equal(d.state.Role(), chuteleader.RoleFollower)
}

func TestLeaderWithoutProofGivesUp(t *testing.T) {
	is := is.New(t)
	d := elected(t)
	d.pass(chuteleader.UnconfirmedLimit - time.Second)
	is.Equal(d.state.Role(), chuteleader.RoleLeader)
	d.pass(2 * time.Second)
	is.Equal(d.verdict, chuteleader.OutcomeDeposed)
}
