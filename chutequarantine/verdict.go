package chutequarantine

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteoutage"
)

const (
	// leastChance is the chance of a crash, in percent, at which no other worker crashed.
	leastChance = 5
	// certainChance is the chance, in percent, of what happens to each worker.
	certainChance = 100
	// oddsOfOne and oddsOfTwo are the odds of one and of two crashes at the least chance, with a margin for rounding.
	oddsOfOne = 0.0501
	oddsOfTwo = 0.00251
	// oddsOfCoincidence are the odds of crashes that say nothing of the task.
	oddsOfCoincidence = 0.5
	// crashesToGiveUp and crashesUnderMember are the numbers of runs with a crash, under any and under one member, below which
	// no task is given up.
	crashesToGiveUp    = 3
	crashesUnderMember = 2
	// crashesBeforeWait is the number of runs with a crash under one member after which a task waits for the end of an outage
	// and is quarantined, however likely they are to have come by chance.
	crashesBeforeWait = 3
	// crashesInAll is the number of runs with a crash under one member after which a task is given up for a single quarantined
	// one that is unlikely to have come by chance.
	crashesInAll = 4
	// maxCrashes is the number of crashes after which it is given up in any case, if most of its gang's crashes came under that
	// member; crashesInAll are enough if as many starts were spent.
	maxCrashes = 5
	// calmTime is the time after an outage from which on crashes count as separate from it.
	calmTime = 5 * time.Second
	// settleTime is how long crashes of other workers may be found after that of the task's worker.
	settleTime = 2 * time.Second
	// maxCalmWait is the longest time for which a task first waits for the end of an outage. It doubles with each crash.
	maxCalmWait = 20 * time.Second
	// lastRunWait is how long a task waits after maxCrashes of which it is not known whether they came under it, if one of
	// them hardly came by chance. It doubles with each further one.
	lastRunWait = time.Minute
	// maxSilenceWait is how long a task waits for a word of the workers that may have crashed under it.
	maxSilenceWait = 10 * time.Second
	// firstProbation is how long a task's first quarantined run has its worker to itself. It doubles with each run that
	// outlives it, for tasks that crash their workers late.
	firstProbation = 10 * time.Second
	// maxProbationDoublings limits how often the probation doubles.
	maxProbationDoublings = 4
	// goneAfter is the time without a word of a worker after which it counts as crashed.
	goneAfter = 90 * time.Second
	// maxRecordedRuns is the number of latest runs of which a record holds crashes, and maxRecordedOfRun how many of each.
	maxRecordedRuns  = 16
	maxRecordedOfRun = 16
)

// NeedsQuarantine reports whether the task's next run must have its worker to itself: after crashes that are unlikely to have
// come by chance, or after several of any kind.
func (r Record) NeedsQuarantine() bool {
	if r.Empty() {
		return false
	}
	latest := slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Run >= r.survivedRun && c.Chance < certainChance })
	return latest && r.odds(func(Crash) bool { return true }) <= oddsOfTwo || r.underMember() >= crashesBeforeWait
}

// Unexplained reports whether a worker crashed under a run since the latest probation while hardly any other did.
func (r Record) Unexplained() bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Run >= r.survivedRun && c.Chance <= leastChance })
}

// MayRunBesideOthers reports whether the task, where no quarantine is to be had, rather runs beside others than waits: each of
// its crashes may have come by chance, and it will not be given up for the next one, or all of them are as likely as not.
func (r Record) MayRunBesideOthers() bool {
	evenOdds := r.odds(func(Crash) bool { return true }) >= oddsOfCoincidence
	return !r.Unexplained() && (r.underMember() < crashesInAll || evenOdds)
}

// odds returns how likely it is that the runs with a crash that matches met them by chance. A gang's run is as likely to
// be hit as the likeliest of its crashes.
func (r Record) odds(matches func(Crash) bool) float64 {
	chances := make(map[int]int)
	for _, c := range r.crashes {
		if matches(c) {
			chances[c.Run] = max(chances[c.Run], c.Chance, leastChance)
		}
	}
	odds := 1.0
	for _, chance := range chances {
		odds *= float64(chance) / certainChance
	}
	return odds
}

// underMember returns the largest number of runs during which a worker crashed under one member, since a run outlived its
// probation.
func (r Record) underMember() int {
	return r.mostUnderMember(func(c Crash) bool { return c.Began && c.Run > r.survivedRun })
}

// possible returns the largest number of runs during which a worker may have crashed under one member: runs of which it is not
// known whether they began count too.
func (r Record) possible() int {
	return r.mostUnderMember(func(c Crash) bool { return c.Run > r.survivedRun })
}

// suspectAlone reports whether the task's workers crashed, hardly by chance, while it had them to itself.
func (r Record) suspectAlone() bool {
	return r.odds(func(c Crash) bool { return c.Quarantined && c.Run > r.survivedRun }) <= oddsOfOne
}

// StartAfter returns the time before which the task should not run again: after several crashes it waits, for some time,
// for the end of an outage, during which nothing is learnt about the task, and long after many that may all have come under
// it. The time at which workers last crashed together is zero if they never did.
func (r Record) StartAfter(outageAt time.Time) time.Time {
	latest := r.latest()
	if possible := r.possible(); possible >= maxCrashes && r.suspectAlone() {
		return latest.Add(lastRunWait << min(possible-maxCrashes, maxCrashes))
	}
	crashes := r.underMember()
	if crashes < crashesBeforeWait {
		return time.Time{}
	}
	calm, settled, limit := outageAt.Add(calmTime), latest.Add(settleTime), latest.Add(maxCalmWait<<min(crashes-crashesBeforeWait, maxCrashes))
	switch {
	case calm.Before(settled):
		return settled
	case calm.After(limit):
		return limit
	}
	return calm
}

// GivenUp reports whether the task is taken to crash each worker that runs it, once crashes of other workers at the time of
// the latest crash must have been found.
func (r Record) GivenUp(now time.Time) bool {
	settled := !slices.ContainsFunc(r.crashes, func(c Crash) bool { return now.Sub(c.At) < chuteoutage.Window })
	return settled && r.atLimit(func(c Crash) bool { return c.Confirmed })
}

// OnHold reports whether the task would be given up if the workers that are silent have crashed.
func (r Record) OnHold() bool {
	return r.atLimit(func(Crash) bool { return true })
}

// Held reports whether the task must not run now. Silence of workers holds it for some time only, unless they would be so many
// crashes that the task is given up in any case.
func (r Record) Held(now time.Time) bool {
	if !r.OnHold() {
		return false
	}
	confirmed := r.atLimit(func(c Crash) bool { return c.Confirmed })
	runs := r.countRuns(func(c Crash) bool { return c.Run > r.survivedRun })
	return confirmed || runs >= maxCrashes || now.Before(r.latest().Add(maxSilenceWait))
}

// latest returns when the latest crash was found; zero without any.
func (r Record) latest() time.Time {
	var latest time.Time
	for _, c := range r.crashes {
		if c.At.After(latest) {
			latest = c.At
		}
	}
	return latest
}

// atLimit reports whether the crashes that match would be enough to give the task up. Runs before one that outlived its
// probation say nothing of that, and runs that may not have begun count towards maxCrashes alone.
func (r Record) atLimit(matches func(Crash) bool) bool {
	began := func(c Crash) bool { return c.Began && matches(c) }
	counts := func(c Crash) bool { return c.Run > r.survivedRun && began(c) }
	underMember := r.mostUnderMember(counts)
	if r.countRuns(began) < crashesToGiveUp || underMember < crashesUnderMember {
		return false
	}
	mostly := 2*underMember >= r.countRuns(counts) // otherwise other members are hit as often
	since := func(c Crash) bool { return c.Run > r.survivedRun && matches(c) }
	possible := r.mostUnderMember(since)
	likely := r.mostUnderMember(func(c Crash) bool { return (c.Began || c.Unknown) && since(c) })
	odds := r.odds(func(c Crash) bool { return c.Quarantined && counts(c) })
	switch {
	case odds <= oddsOfTwo, odds <= oddsOfOne && underMember >= crashesInAll:
		return true
	case underMember < crashesToGiveUp:
		return false
	}
	spent := r.startsSpent(since) >= maxCrashes
	return odds <= oddsOfOne && possible >= maxCrashes || mostly && likely >= crashesInAll && spent
}

// startsSpent returns how many starts of the crash budget the runs up to the latest crash that matches have spent, under the
// member for which that is most: those of the first three runs with a likely crash, and each later one, as whatever it came to.
func (r Record) startsSpent(matches func(Crash) bool) int {
	most := 0
	for _, c := range r.crashes {
		if c.Member == UnknownMember || !matches(c) {
			continue
		}
		likely := r.runsOf(func(other Crash) bool {
			return other.Member == c.Member && (other.Began || other.Unknown || other.Planned) && matches(other)
		})
		if len(likely) >= crashesToGiveUp {
			most = max(most, crashesToGiveUp+c.Run-likely[crashesToGiveUp-1])
		}
	}
	return most
}

// runsOf returns the numbers of the runs with a crash that matches, in their order.
func (r Record) runsOf(matches func(Crash) bool) []int {
	var runs []int
	for _, c := range r.crashes {
		if matches(c) {
			runs = append(runs, c.Run)
		}
	}
	slices.Sort(runs)
	return slices.Compact(runs)
}

// Probation returns how long the task's next quarantined run has its worker to itself.
func (r Record) Probation() time.Duration {
	return firstProbation << min(r.survivals, maxProbationDoublings)
}

// countRuns returns the number of runs with a crash that matches.
func (r Record) countRuns(matches func(Crash) bool) int {
	if len(r.crashes) == 0 {
		return 0
	}
	runs := make(map[int]bool)
	for _, c := range r.crashes {
		if matches(c) {
			runs[c.Run] = true
		}
	}
	return len(runs)
}

// mostUnderMember returns the largest number of runs with a crash that matches under one member.
func (r Record) mostUnderMember(matches func(Crash) bool) int {
	most := 0
	for _, c := range r.crashes {
		if c.Member != UnknownMember && matches(c) {
			most = max(most, r.countRuns(func(other Crash) bool { return other.Member == c.Member && matches(other) }))
		}
	}
	return most
}
