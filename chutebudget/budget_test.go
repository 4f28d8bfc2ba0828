package chutebudget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonchute.example/monsoonchute/chutebudget"
)

const mib = 1 << 20

// TestLimitsFollowTheHost guards against limits that a small host cannot hold, or that refuse the connections which
// present hosts have.
func TestLimitsFollowTheHost(t *testing.T) {
	is := is.New(t)
	small := chutebudget.NewLimits(184*mib, 4100, 2048)
	is.Equal(small, chutebudget.Limits{Bytes: 23 * mib, LargeBytes: 23 * mib * 3 / 4, AddressBytes: 23 * mib / 2, Connections: 2048, AddressConnections: 1536, SharedFrom: 2016})
	is.Equal(chutebudget.NewLimits(184*mib, 400, 2048).Connections, 200)
	is.Equal(chutebudget.NewLimits(16*mib, 0, 2048).Connections, 204)
	is.Equal(chutebudget.NewLimits(0, 0, 8192).Bytes, int64(128*mib))
	for _, c := range []struct{ total, address, wantTotal, wantAddress int }{
		{0, 0, 2048, 1536},
		{100, 0, 100, 75},
		{100, 200, 100, 100},
		{9000, 10, 2048, 10},
	} {
		set := small.WithConnections(c.total, c.address)
		is.Equal([]int{set.Connections, set.AddressConnections}, []int{c.wantTotal, c.wantAddress})
	}
}

// TestTheAccountHoldsWhatIsClaimed guards against an account that exceeds its limits, or that keeps what was given back.
func TestTheAccountHoldsWhatIsClaimed(t *testing.T) {
	limits := chutebudget.NewLimits(16*mib, 64, 32)
	rapid.Check(t, func(t *rapid.T) {
		account := chutebudget.NewAccount(limits)
		var held []chutebudget.Claim
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "give back") {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				account = account.WithoutClaim(held[i])
				held = append(held[:i], held[i+1:]...)
				continue
			}
			from := chutebudget.Address{byte(rapid.IntRange(0, 3).Draw(t, "address"))}
			var claim chutebudget.Claim = chutebudget.Connection{From: from}
			if rapid.Bool().Draw(t, "body") {
				claim = chutebudget.Body{From: from, Bytes: int64(rapid.IntRange(1, mib).Draw(t, "bytes"))}
			}
			shared := account.Total().Connections >= limits.SharedFrom && account.Of(from).Connections >= limits.AddressConnections
			next, verdict := account.Admit(claim)
			if _, connects := claim.(chutebudget.Connection); connects && shared && verdict == chutebudget.VerdictAdmitted {
				t.Fatal("an address over its share was admitted")
			}
			if verdict == chutebudget.VerdictAdmitted {
				held = append(held, claim)
			} else if next != account {
				t.Fatal("a refused claim changed the account")
			}
			account = next
			total := account.Total()
			if total.Bytes > limits.Bytes || total.Connections > limits.Connections {
				t.Fatalf("over the limits: %+v", total)
			}
		}
		for _, claim := range held {
			account = account.WithoutClaim(claim)
		}
		if account.Total() != (chutebudget.Use{}) {
			t.Fatalf("still held: %+v", account.Total())
		}
	})
}

// TestASingleAddressMayUseAlmostAllConnections guards against clients behind one address whose connections are closed
// for each other although there are free ones, and against an address that leaves none to others.
func TestASingleAddressMayUseAlmostAllConnections(t *testing.T) {
	is := is.New(t)
	limits := chutebudget.NewLimits(184*mib, 4100, 2048)
	account, crowd := chutebudget.NewAccount(limits), chutebudget.Address{1}
	verdict := chutebudget.VerdictAdmitted
	for verdict == chutebudget.VerdictAdmitted {
		account, verdict = account.Admit(chutebudget.Connection{From: crowd})
	}
	is.Equal(verdict, chutebudget.VerdictAddressConnections)
	is.Equal(account.Total().Connections, 2016)
	_, verdict = account.Admit(chutebudget.Connection{From: chutebudget.Address{2}})
	is.Equal(verdict, chutebudget.VerdictAdmitted)
	account = chutebudget.NewAccount(limits.WithConnections(0, 1)) // a limit that is set applies at any total
	account, _ = account.Admit(chutebudget.Connection{From: crowd})
	_, verdict = account.Admit(chutebudget.Connection{From: crowd})
	is.Equal(verdict, chutebudget.VerdictAddressConnections)
}

// TestLargeBodiesLeaveRoomForOrdinaryOnes guards against calls of ordinary size that are refused while large bodies, or
// those of one address, fill their part.
func TestLargeBodiesLeaveRoomForOrdinaryOnes(t *testing.T) {
	is := is.New(t)
	limits := chutebudget.NewLimits(184*mib, 0, 2048)
	account, first, second := chutebudget.NewAccount(limits), chutebudget.Address{1}, chutebudget.Address{2}
	verdict := chutebudget.VerdictAdmitted
	for verdict == chutebudget.VerdictAdmitted {
		account, verdict = account.Admit(chutebudget.Body{From: first, Bytes: mib / 4})
	}
	is.Equal(verdict, chutebudget.VerdictAddressBudget) // one address has half of the budget
	for verdict != chutebudget.VerdictBudget {
		account, verdict = account.Admit(chutebudget.Body{From: second, Bytes: mib / 4})
	}
	_, verdict = account.Admit(chutebudget.Body{From: first, Bytes: chutebudget.SmallBody})
	is.Equal(verdict, chutebudget.VerdictAdmitted)
	_, verdict = account.Admit(chutebudget.Body{From: first, Held: chutebudget.SmallBody, Bytes: chutebudget.SmallBody})
	is.Equal(verdict, chutebudget.VerdictBudget) // a body that grows over the size is a large one
	_, verdict = account.Admit(chutebudget.Response{From: first, Bytes: 1 << 40})
	is.Equal(verdict, chutebudget.VerdictAdmitted) // a response is never withheld
}

// TestTheVictimHasNoRequest guards against closing a connection whose request is served, or one that has just opened.
func TestTheVictimHasNoRequest(t *testing.T) {
	is := is.New(t)
	crowd, single := chutebudget.Address{1}, chutebudget.Address{2}
	account := chutebudget.NewAccount(chutebudget.NewLimits(0, 8, 8))
	for range 3 {
		account, _ = account.Admit(chutebudget.Connection{From: crowd})
	}
	account, verdict := account.Admit(chutebudget.Connection{From: crowd})
	is.Equal(verdict, chutebudget.VerdictAddressConnections)
	account, _ = account.Admit(chutebudget.Connection{From: single})
	for _, c := range []struct {
		name       string
		candidates []chutebudget.Candidate
		verdict    chutebudget.Verdict
		want       int // -1 for none
	}{
		{"served and new ones", []chutebudget.Candidate{
			{From: crowd, Phase: chutebudget.PhaseServing, Age: time.Hour},
			{From: crowd, Phase: chutebudget.PhaseNew, Age: time.Millisecond},
			{From: crowd, Phase: chutebudget.PhaseReading, Age: time.Millisecond},
			{From: crowd, Phase: chutebudget.PhaseIdle, Age: time.Second - time.Millisecond},
		}, chutebudget.VerdictConnections, -1},
		{"the oldest of the address with most", []chutebudget.Candidate{
			{From: single, Phase: chutebudget.PhaseIdle, Age: time.Hour},
			{From: crowd, Phase: chutebudget.PhaseIdle, Age: time.Second},
			{From: crowd, Phase: chutebudget.PhaseReading, Age: time.Minute},
		}, chutebudget.VerdictConnections, 2},
		{"only of the address at its limit", []chutebudget.Candidate{
			{From: single, Phase: chutebudget.PhaseIdle, Age: time.Hour},
		}, chutebudget.VerdictAddressConnections, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			i, found := account.ChooseVictim(c.candidates, chutebudget.Connection{From: crowd}, c.verdict)
			is.Equal(found, c.want >= 0)
			is.True(!found || i == c.want)
		})
	}
}

// TestPressureDoesNotFlap guards against a host whose readiness changes with each sample near a threshold.
func TestPressureDoesNotFlap(t *testing.T) {
	level := chutebudget.PressureNone
	for _, step := range []struct {
		used int64
		want chutebudget.Pressure
	}{
		{80, chutebudget.PressureNone},
		{85, chutebudget.PressureShort},
		{82, chutebudget.PressureShort},
		{97, chutebudget.PressureExhausted},
		{94, chutebudget.PressureExhausted},
		{92, chutebudget.PressureShort},
		{80, chutebudget.PressureNone},
	} {
		level = level.Next(chutebudget.Sample{Used: 1, Limit: 0}, chutebudget.Sample{Used: step.used, Limit: 100})
		if level != step.want {
			t.Errorf("at %d%%: %s, want %s", step.used, level, step.want)
		}
	}
}
