package chuteallotment

import (
	"cmp"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutelimit"
)

// Demands returns what the workspaces have in use and evictable on the shard. A job is in use from its
// grant until its attempt is over, also when the attempt was adopted from an earlier owner.
func Demands(jobs []chutejob.Job) map[string]chutelimit.Demand {
	demands := make(map[string]chutelimit.Demand)
	for _, j := range jobs {
		d := demands[j.Spec.Workspace]
		total := j.Spec.Shape.Total()
		if j.Phase != chutejob.PhaseWaiting {
			d.Use += total
		}
		if evictable(j) || stopsForLimit(j) {
			d.Evictable += total
		}
		demands[j.Spec.Workspace] = d
	}
	return demands
}

// evictable reports whether the job may be stopped for a job of the same workspace that a guarantee covers.
func evictable(j chutejob.Job) bool {
	return j.Phase == chutejob.PhaseRunning && !j.Guaranteed && !j.Spec.Urgent && j.Spec.Restartable()
}

// stopsForLimit reports whether the job is being stopped and will release its accelerators.
func stopsForLimit(j chutejob.Job) bool {
	return (j.Phase == chutejob.PhaseCheckpointing || j.Phase == chutejob.PhaseStopping) && j.StopReason == chutejob.StopReclaimed
}

// Victims returns the borrowers of the workspace that are stopped, those that lose the least work first, so that the missing
// accelerators are being freed. Those that are being stopped already count.
func Victims(jobs []chutejob.Job, workspace string, missing int, now time.Time) []chutejob.Job {
	var candidates []chutejob.Job
	for _, j := range jobs {
		switch {
		case j.Spec.Workspace != workspace:
		case stopsForLimit(j):
			missing -= j.Spec.Shape.Total()
		case evictable(j):
			candidates = append(candidates, j)
		}
	}
	slices.SortFunc(candidates, func(a, b chutejob.Job) int {
		return cmp.Or(cmp.Compare(a.LostWork(now), b.LostWork(now)), cmp.Compare(a.ID, b.ID))
	})
	for i, j := range candidates {
		if missing <= 0 {
			return candidates[:i]
		}
		missing -= j.Spec.Shape.Total()
	}
	return candidates
}
