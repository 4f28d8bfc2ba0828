package chuteledger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteclock"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutetask"
)

// TestAJobKeepsItsAcceptanceTimeUnderANewLeader guards against jobs whose objective begins anew with each leader, and against times of
// a store's clock that has started anew.
func TestAJobKeepsItsAcceptanceTimeUnderANewLeader(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var environment chuteledger.Environment
	ledger := func() *chuteledger.Transition {
		state := chuteledger.New(1, chuteledger.Bounds{}, now)
		return chuteledger.NewTransition(chuteaction.NewTransition(now, 0), state, environment)
	}
	accepted := func(at time.Duration) time.Duration {
		j := chutetask.New(chutetask.Submission{AcceptedAt: at}, 1, now)
		return now.Sub(ledger().AcceptedAt(j, 0))
	}
	is.Equal(accepted(time.Minute), time.Duration(0)) // the clock is not known
	environment.StoreClock = chuteclock.Store{}.WithReading(70*time.Second, now.Add(-time.Second), now)
	is.Equal(accepted(time.Minute), 10*time.Second)
	is.Equal(accepted(0), time.Duration(0))         // a row of an older host
	is.Equal(accepted(time.Hour), time.Duration(0)) // the clock has started anew
}
