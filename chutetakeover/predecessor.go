package chutetakeover

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutehandover"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const component = "scheduler"

// Predecessor is what a scheduler knows of the one that led before it. It is immutable.
type Predecessor struct {
	leader  chuteleader.Predecessor
	endedBy time.Time // by then the predecessor's process had certainly ended; zero if that is not known
}

// New returns what is known of the predecessor at the takeover.
func New(leader chuteleader.Predecessor, now time.Time) Predecessor {
	p := Predecessor{leader: leader}
	if leader.Row.Epoch == 0 || leader.Row.Released {
		p.endedBy = now
	}
	return p
}

// Host returns the name of the predecessor's host.
func (p Predecessor) Host() string {
	return p.leader.Row.Host
}

// Ended reports whether the predecessor's process has certainly ended.
func (p Predecessor) Ended() bool {
	return !p.endedBy.IsZero()
}

// WithHosts checks, in rows of the entry hosts, whether the predecessor's process has ended, in which case nobody renews leases
// under its epoch any more. It has ended if a later row of its host names another process.
func (p Predecessor) WithHosts(t *chuterunner.Transition, rows []chuteaction.Row) Predecessor {
	if p.Ended() {
		return p
	}
	for _, r := range rows {
		row, ok := r.Value.(chuteaction.HostRow)
		if ok && row.Host == p.Host() && row.Process != p.leader.Row.Process && r.Version > p.leader.Version {
			p.endedBy = t.Now
			t.Log(component, "process of the former leader has ended", "", "former", row.Host, "since-takeover", t.Now.Sub(t.LeaderSince))
			p.shortenLeases(t)
			return p
		}
	}
	return p
}

// shortenLeases applies what is known now of the predecessor to the workers that this scheduler has not reached.
func (p Predecessor) shortenLeases(t *chuterunner.Transition) {
	for _, w := range t.Pool.All() {
		if end := p.leaseEnd(t, w.ID); w.AnsweredAt.IsZero() && end.Before(w.LeaseExpiryBound) {
			w.LeaseExpiryBound = end
			t.PutWorker(w)
		}
	}
}

// leaseEnd returns when the lease expires of a worker that this scheduler has not reached. Earlier schedulers that the
// worker may have heard last may renew it for a while after their latest writes.
func (p Predecessor) leaseEnd(t *chuterunner.Transition, worker chutetask.WorkerID) time.Time {
	told, clock := p.leader.Row.Handover, t.Environment.StoreClock
	final, declared := chuteaction.FinalLeaseOf(told.FinalLeases, worker)
	switch {
	case declared && clock.Known():
		return latest(clock.Time(final), t.LeaderSince.Add(chutehandover.Delay))
	case told.FormerLeaseEnd > 0 && clock.Known():
		return latest(p.ownLeaseEnd(t), clock.Time(told.FormerLeaseEnd))
	}
	return p.ownLeaseEnd(t)
}

// ownLeaseEnd returns when the leases expire that the predecessor has granted.
func (p Predecessor) ownLeaseEnd(t *chuterunner.Transition) time.Time {
	if p.Ended() {
		return p.endedBy.Add(t.Bounds.LongestLease())
	}
	granted := p.leader.ObservedAt.Add(t.Bounds.LongestUnconfirmedLease())
	return latest(granted, t.LeaderSince.Add(t.Bounds.LongestLease()))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
