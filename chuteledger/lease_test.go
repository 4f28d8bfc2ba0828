package chuteledger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
)

// TestLeasesEndSoonAfterTheSchedulersLatestWrite guards against leases that a successor would have to wait for longer than it does,
// and against work that ends although its scheduler has just written.
func TestLeasesEndSoonAfterTheSchedulersLatestWrite(t *testing.T) {
	const clock = time.Hour // of the worker, now
	cases := []struct {
		name          string
		maxLease      time.Duration
		unconfirmed   time.Duration // since the latest successful write
		missed        int
		granted       time.Duration // by the lease, from now; 0 if the lease is not extended
		longestBeyond time.Duration // after the write, until a successor may take all leases as expired
	}{
		{"a write just now", 10 * time.Second, 0, 0, 10 * time.Second, 14620 * time.Millisecond},
		{"a write some seconds ago", 10 * time.Second, 7 * time.Second, 0, 7 * time.Second, 14620 * time.Millisecond},
		{"short leases last as before", 6 * time.Second, 8 * time.Second, 0, 6 * time.Second, 14620 * time.Millisecond},
		{"very short ones too", 2 * time.Second, 8 * time.Second, 0, 2 * time.Second, 10500 * time.Millisecond},
		{"no write for long", 10 * time.Second, 15 * time.Second, 0, 0, 14620 * time.Millisecond},
		{"a silent worker", 10 * time.Second, 0, 1, 0, 14620 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			bounds := chuteledger.Bounds{MaxLease: c.maxLease, UnconfirmedLimit: 8 * time.Second}
			ledger := chuteledger.NewTransition(chuteaction.NewTransition(now, 0), chuteledger.New(1, bounds, now),
				chuteledger.Environment{ConfirmedAt: now.Add(-c.unconfirmed)})
			w := chutepool.NewWorker(chutepool.Listing{ID: "w"}, now).WithRenewalAnswer(1, clock, now)
			w.MissedRenewals = c.missed
			w = ledger.ExtendLease(w)
			if c.granted > 0 {
				is.Equal(w.LeaseEnd, clock+c.granted)
				is.True(w.LeaseExpiryBound.After(now.Add(c.granted)))
				is.True(!w.LeaseExpiryBound.After(now.Add(-c.unconfirmed).Add(bounds.LongestUnconfirmedLease())))
			} else {
				is.Equal(w.LeaseEnd, time.Duration(0))
			}
			is.Equal(bounds.LongestUnconfirmedLease().Round(time.Millisecond), c.longestBeyond)
		})
	}
}
