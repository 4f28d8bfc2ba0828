package chuteisolation

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chutetask"
)

// workersPerQuarantine is the number of workers of a service for each that quarantines may take.
const workersPerQuarantine = 4

// Full reports whether quarantines have taken the share of the service's workers that is open to the demand: a
// part, or all but that part for tasks that wait although each of their crashes may have come by chance.
func Full(t *chuteledger.Transition, d chutedemand.Demand, taken map[chutetask.WorkerID]bool) bool {
	quarantines, workers := Count(t, d.Service, taken)
	share := Part(workers)
	if !MayRunBesideOthers(t, d) && !anyRecord(t, d, chutequarantine.Record.Unexplained) {
		share = max(1, workers-share)
	}
	return quarantines >= share
}

// Count returns how many of the service's workers quarantines have taken, and how many there are.
func Count(t *chuteledger.Transition, service string, taken map[chutetask.WorkerID]bool) (quarantines, workers int) {
	for _, w := range t.Pool.All() {
		if w.Service != service || !w.Listed {
			continue
		}
		workers++
		if taken[w.ID] || w.InQuarantine() {
			quarantines++
		}
	}
	return quarantines, workers
}

// Part returns the part of so many workers that quarantines may take whatever waits.
func Part(workers int) int {
	return max(1, workers/workersPerQuarantine)
}

// MayRunBesideOthers reports whether the demand's tasks rather run beside others than wait for a quarantine.
func MayRunBesideOthers(t *chuteledger.Transition, d chutedemand.Demand) bool {
	mustWait := func(r chutequarantine.Record) bool { return !r.MayRunBesideOthers() }
	return d.Step.LongRunning || !anyRecord(t, d, mustWait)
}

// anyRecord reports whether the record of crashes under any of the demand's tasks matches.
func anyRecord(t *chuteledger.Transition, d chutedemand.Demand, matches func(chutequarantine.Record) bool) bool {
	j, ok := t.Job(d.ID.Job)
	return ok && slices.ContainsFunc(d.Indexes, func(i int) bool {
		return matches(j.Crashes(chutegraph.TaskID{StepID: d.ID, Index: i}))
	})
}
