package chuteplanner

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
)

const (
	// fitCheckInterval is the age from which on a check is repeated.
	fitCheckInterval = 5 * time.Second
	// maxFitChecks is the largest number of steps that a pass checks; a check looks at all workers.
	maxFitChecks = 8
)

// fitCheck is whether a step would fit on the workers if nothing ran there, as checked at a time. A quota that is reserved for a step
// that fits nowhere would be lost to its workspace.
type fitCheck struct {
	fits bool
	at   time.Time
}

// fitChecker checks steps in one pass. An earlier check counts until it is repeated, so that no reservation lapses because more steps
// are due than a pass may check.
type fitChecker struct {
	pass    *pass
	made    map[chutegraph.StepID]fitCheck // in this pass
	old     []chuteplacement.Demand        // demands whose checks are to be repeated
	workers []chuteplacement.Worker        // as if nothing ran there; built for the first check
}

func newFitChecker(p *pass) *fitChecker {
	return &fitChecker{pass: p, made: make(map[chutegraph.StepID]fitCheck)}
}

// fits reports whether one task of the demand, or its gang, would fit on the workers if nothing ran there.
func (c *fitChecker) fits(d chuteplacement.Demand) bool {
	known, checked := c.pass.fitChecks[d.ID]
	if !checked {
		return c.check(d)
	}
	if c.pass.Now.Sub(known.at) >= fitCheckInterval {
		c.old = append(c.old, d)
	}
	return known.fits
}

// check checks the demand, unless the pass has made all of its checks.
func (c *fitChecker) check(d chuteplacement.Demand) bool {
	if len(c.made) >= maxFitChecks {
		return false
	}
	if c.workers == nil {
		c.workers = chutecandidate.Usable(c.pass.Transition.Transition, nil)
		for i := range c.workers {
			c.workers[i].Free = c.workers[i].Capacity
		}
	}
	d.Tickets = nil // requested once the quota allows a start
	check := fitCheck{fits: chuteplacement.Fits(c.workers, d), at: c.pass.Now}
	c.made[d.ID] = check
	return check.fits
}

// finish repeats the oldest checks and returns all checks of the steps that are still held back.
func (c *fitChecker) finish(held map[chutegraph.StepID]time.Time) map[chutegraph.StepID]fitCheck {
	slices.SortStableFunc(c.old, func(a, b chuteplacement.Demand) int {
		return c.pass.fitChecks[a.ID].at.Compare(c.pass.fitChecks[b.ID].at)
	})
	for _, d := range c.old {
		c.check(d)
	}
	if len(c.made) == 0 {
		return c.pass.fitChecks
	}
	for id, known := range c.pass.fitChecks {
		_, repeated := c.made[id]
		if _, waits := held[id]; waits && !repeated {
			c.made[id] = known
		}
	}
	return c.made
}
