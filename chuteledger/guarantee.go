package chuteledger

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// GuaranteedJobs returns the jobs of priority 0 that their workspaces' guarantees cover. A guarantee covers the jobs
// that were accepted first, as many as need no more accelerators together than it holds. It is theirs whatever else
// waits, so that a workspace within its guarantee never waits for the load of the others.
func (t *Transition) GuaranteedJobs() map[chutegraph.JobID]bool {
	covered := make(map[chutegraph.JobID]bool)
	for g, jobs := range t.urgentJobs() {
		left := g.accelerators
		slices.SortFunc(jobs, func(a, b chutetask.Job) int { return cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder) })
		for _, j := range jobs {
			left -= j.Spec.PeakAccelerators()
			if left < 0 {
				break
			}
			covered[j.ID] = true
		}
	}
	return covered
}

// guarantee is the number of accelerators that a workspace is guaranteed.
type guarantee struct {
	workspace    string
	accelerators int
}

// urgentJobs returns the live jobs of priority 0 by the guarantee of their workspace.
func (t *Transition) urgentJobs() map[guarantee][]chutetask.Job {
	guarantees := make(map[string]guarantee)
	for _, w := range t.Environment.Catalog.Workspaces {
		if w.GuaranteedAccelerators > 0 {
			guarantees[w.Name] = guarantee{workspace: w.Name, accelerators: w.GuaranteedAccelerators}
		}
	}
	jobs := make(map[guarantee][]chutetask.Job)
	for i := t.Live.Iterator(); !i.Done() && len(guarantees) > 0; {
		_, j, _ := i.Next()
		if g, ok := guarantees[j.Workspace]; ok && t.Priority(j) == 0 {
			jobs[g] = append(jobs[g], j)
		}
	}
	return jobs
}
