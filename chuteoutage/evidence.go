package chuteoutage

import (
	"slices"
	"strings"

	"monsoonchute.example/monsoonchute/chutegraph"
)

const (
	// minOthers is the number of other workers below which their crashes say nothing of a common cause.
	minOthers = 2
	// maxSuspicion limits the suspicion that is told apart.
	maxSuspicion = 8
	// outageChance is the chance of a crash, in percent, from which on workers crash together.
	outageChance = 5
	percent      = 100
)

// Worker is a worker as it is now.
type Worker struct {
	Place Place
	Runs  []chutegraph.RunID
}

// Suspect is a task under which a worker crashed.
type Suspect struct {
	Step    chutegraph.StepID
	Gang    bool
	Workers int  // largest number of workers that it runs on, as a gang
	Alone   bool // its workers ran nothing of other jobs
	// Suspicion is the number of its earlier runs during which a worker crashed, and hardly by chance.
	Suspicion int
}

// mayHaveCaused reports whether the worker may have crashed under the suspect's job. The end of one member of a gang ends
// the others, so that another worker of the gang that crashes as well has not crashed under it.
func (s Suspect) mayHaveCaused(c Crash) bool {
	return slices.ContainsFunc(c.Runs, func(r chutegraph.RunID) bool {
		ofGang := s.Gang && r.Task.StepID == s.Step
		return r.Task.Job == s.Step.Job && !ofGang
	})
}

// Evidence is what the crashes and the workers of a moment say about the cause of each crash.
type Evidence struct {
	crashes    []Crash
	byWorker   []int                           // indexes of the crashes in the order of their workers
	byJob      map[chutegraph.JobID][]int      // indexes of the crashes of workers that ran a task of the job
	suspicions []int                           // by crash: largest suspicion of a task that the worker ran
	workers    map[Place][maxSuspicion + 1]int // number of workers in each service, zone and rack by their suspicion
	clean      []bool                          // by crash: no worker has crashed before under a task that the worker ran
	unharmed   map[Place]int                   // number of workers of which that is true
}

// Before is what is known of a task before a run.
type Before struct {
	Crashes   int // number of earlier runs during which a worker crashed
	Suspicion int // number of those that hardly came by chance
}

// NewEvidence returns the evidence in the crashes of the history and the present workers.
func NewEvidence(h History, workers []Worker, before func(chutegraph.RunID) Before) Evidence {
	e := Evidence{crashes: h.crashes, workers: make(map[Place][maxSuspicion + 1]int), unharmed: make(map[Place]int)}
	for _, c := range h.crashes {
		most := largest(c.Runs, before)
		e.suspicions = append(e.suspicions, most.Suspicion)
		e.clean = append(e.clean, most.Crashes == 0)
	}
	e.byWorker, e.byJob = indexesByWorker(h.crashes), indexesByJob(h.crashes)
	for _, w := range workers {
		most := largest(w.Runs, before)
		for _, scope := range w.Place.scopes() {
			counts := e.workers[scope]
			counts[min(most.Suspicion, maxSuspicion)]++
			e.workers[scope] = counts
			if most.Crashes == 0 {
				e.unharmed[scope]++
			}
		}
	}
	return e
}

// indexesByWorker returns the indexes of the crashes in the order of their workers.
func indexesByWorker(crashes []Crash) []int {
	indexes := make([]int, len(crashes))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortStableFunc(indexes, func(a, b int) int { return strings.Compare(crashes[a].Worker, crashes[b].Worker) })
	return indexes
}

// indexesByJob returns the indexes of the crashes of workers that ran a task of each job.
func indexesByJob(crashes []Crash) map[chutegraph.JobID][]int {
	indexes := make(map[chutegraph.JobID][]int)
	for i, c := range crashes {
		for _, r := range c.Runs {
			indexes[r.Task.Job] = append(indexes[r.Task.Job], i)
		}
	}
	return indexes
}

// largest returns the largest numbers of the tasks of the runs.
func largest(runs []chutegraph.RunID, before func(chutegraph.RunID) Before) Before {
	var most Before
	for _, r := range runs {
		b := before(r)
		most.Crashes, most.Suspicion = max(most.Crashes, b.Crashes), max(most.Suspicion, b.Suspicion)
	}
	return most
}

// Moment is the evidence about one crash, whatever ran on the worker.
type Moment struct {
	evidence Evidence
	scopes   []Place
	others   [][]int // by scope: the crashes of other workers within the window around the crash, by worker
}

// Around returns the evidence about the crash.
func (e Evidence) Around(c Crash) Moment {
	m := Moment{evidence: e, scopes: c.Place.scopes()}
	m.others = make([][]int, len(m.scopes))
	for _, i := range e.byWorker {
		other := e.crashes[i]
		if other.Worker == c.Worker || c.At.Sub(other.At).Abs() > Window {
			continue
		}
		for k, scope := range m.scopes {
			if other.Place.within(scope) {
				m.others[k] = append(m.others[k], i)
			}
		}
	}
	return m
}

// Chance returns how likely a worker was to crash as this one did, in percent, whatever it ran: the largest share of the
// other workers of its service, zone or rack that crashed at the same time. Only workers count that the suspect can't have
// crashed and that are under little suspicion beside it, since others may have crashed under a task of their own; for a
// suspect that was alone, under none.
func (m Moment) Chance(s Suspect) int {
	chance := 0
	causedBy := m.evidence.mayHaveBeenCausedBy(s)
	for k, scope := range m.scopes {
		others, workers := m.controls(k, s, causedBy)
		if others < minOthers {
			continue
		}
		share := percent * others / max(others, workers)
		if scope.Service != "" {
			share *= s.Workers // any of them would have ended the run
		}
		chance = max(chance, min(share, percent))
	}
	return chance
}

// Together reports whether the crash was one of several that workers had together, not because of what they ran.
func (m Moment) Together() bool {
	return m.Chance(Suspect{Workers: 1, Alone: true}) >= outageChance
}

// mayHaveBeenCausedBy returns, by crash, whether the worker may have crashed under the suspect's job.
func (e Evidence) mayHaveBeenCausedBy(s Suspect) []bool {
	caused := make([]bool, len(e.crashes))
	for _, i := range e.byJob[s.Step.Job] {
		caused[i] = s.mayHaveCaused(e.crashes[i])
	}
	return caused
}

// controls returns the number of workers in the scope with the index that the crash is compared with, and how many of them
// crashed within the window around it.
func (m Moment) controls(k int, s Suspect, causedBy []bool) (crashed, all int) {
	e, scope := m.evidence, m.scopes[k]
	if s.Alone {
		return m.count(k, func(i int) bool { return e.clean[i] && !causedBy[i] }), e.unharmed[scope]
	}
	limit := max(1, (s.Suspicion+1)/2)
	return m.count(k, func(i int) bool { return e.suspicions[i] < limit && !causedBy[i] }), e.below(scope, limit)
}

// count returns the number of other workers in the scope with the index of which a crash counts.
func (m Moment) count(k int, counts func(i int) bool) int {
	workers, latest := 0, ""
	for _, i := range m.others[k] {
		worker := m.evidence.crashes[i].Worker
		if worker != latest && counts(i) {
			workers, latest = workers+1, worker
		}
	}
	return workers
}

// below returns the number of workers in the scope with less than the suspicion.
func (e Evidence) below(scope Place, suspicion int) int {
	total := 0
	for s, n := range e.workers[scope] {
		if s < suspicion {
			total += n
		}
	}
	return total
}
