package chutefit

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplacement"
)

const (
	// checkInterval is the age from which on a check is repeated.
	checkInterval = 5 * time.Second
	// maxChecks is the largest number of steps that a pass checks; a check looks at all workers.
	maxChecks = 8
)

// Checks are the latest checks of steps. They are never modified.
type Checks map[chutegraph.StepID]check

// check is whether a step would fit on the workers if nothing ran there, as checked at a time. A quota that is reserved for a step
// that fits nowhere would be lost to its workspace.
type check struct {
	fits bool
	at   time.Time
}

// Checker checks steps in one pass. An earlier check counts until it is repeated, so that no reservation lapses because more steps
// are due than a pass may check.
type Checker struct {
	t       *chuteledger.Transition
	known   Checks                  // of earlier passes
	made    Checks                  // in this pass
	old     []chutedemand.Demand    // demands whose checks are to be repeated
	workers []chuteplacement.Worker // as if nothing ran there; built for the first check
}

// NewChecker returns a checker for one pass that knows of earlier checks.
func NewChecker(t *chuteledger.Transition, known Checks) *Checker {
	return &Checker{t: t, known: known, made: make(Checks)}
}

// Fits reports whether one task of the demand, or its gang, would fit on the workers if nothing ran there.
func (c *Checker) Fits(d chutedemand.Demand) bool {
	known, checked := c.known[d.ID]
	if !checked {
		return c.check(d)
	}
	if c.t.Now.Sub(known.at) >= checkInterval {
		c.old = append(c.old, d)
	}
	return known.fits
}

// check checks the demand, unless the pass has made all of its checks.
func (c *Checker) check(d chutedemand.Demand) bool {
	if len(c.made) >= maxChecks {
		return false
	}
	if c.workers == nil {
		c.workers = chutecandidate.Usable(c.t, nil)
		for i := range c.workers {
			c.workers[i].Free = c.workers[i].Capacity
		}
	}
	d.Tickets = nil // requested once the quota allows a start
	made := check{fits: chuteplacement.Fits(c.workers, d), at: c.t.Now}
	c.made[d.ID] = made
	return made.fits
}

// Finish repeats the oldest checks and returns all checks of the steps that are still held back.
func (c *Checker) Finish(held map[chutegraph.StepID]time.Time) Checks {
	slices.SortStableFunc(c.old, func(a, b chutedemand.Demand) int {
		return c.known[a.ID].at.Compare(c.known[b.ID].at)
	})
	for _, d := range c.old {
		c.check(d)
	}
	if len(c.made) == 0 {
		return c.known
	}
	for id, known := range c.known {
		_, repeated := c.made[id]
		if _, waits := held[id]; waits && !repeated {
			c.made[id] = known
		}
	}
	return c.made
}
