package chuterecovery

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Recover restores the jobs from the rows that earlier owners wrote. The rows don't tell whether an attempt still runs:
// it counts as ordered until a worker's report under this epoch lists its task or omits it.
func Recover(t *chutegang.Transition, rows []chutetable.StoredRow) {
	t.State.PlanDue = true
	// Of two attempts on the same accelerators, the one that was written earlier has released them.
	slices.SortFunc(rows, func(a, b chutetable.StoredRow) int { return cmp.Compare(b.Version, a.Version) })
	for _, stored := range rows {
		row, ok := stored.Row.(chutetable.JobRow)
		if !ok {
			continue
		}
		recoverJob(t, row.Job)
	}
}

func recoverJob(t *chutegang.Transition, j chutejob.Job) {
	switch j.Phase {
	case chutejob.PhaseEnded:
		t.PutJob(j)
	case chutejob.PhaseWaiting, chutejob.PhaseClaiming:
		recoverWaiting(t, j)
	case chutejob.PhaseReserved, chutejob.PhaseReady, chutejob.PhaseStarting, chutejob.PhaseRunning,
		chutejob.PhaseCheckpointing, chutejob.PhaseStopping:
		adoptAttempt(t, j)
	}
}

func recoverWaiting(t *chutegang.Transition, j chutejob.Job) {
	j = j.WithWaiting(t.Now())
	t.PutJob(j)
	if j.CancelRequested {
		t.Stop(j, chutejob.StopCancelled)
	}
}

// adoptAttempt restores an attempt that may still run, with the accelerators that no newer attempt holds.
func adoptAttempt(t *chutegang.Transition, j chutejob.Job) {
	for i, p := range j.Parts {
		if t.State.Inventory.Held([]chutetopology.Block{p.Block}) {
			j = j.WithPartReleased(i)
		}
	}
	blocks := j.Blocks()
	if j.Guaranteed {
		inventory, ok := t.State.Inventory.WithAdopted(j.Spec.Workspace, string(j.ID), j.Spec.Shape, blocks)
		t.State.Inventory = inventory
		j.Guaranteed = ok
	}
	t.State.Inventory = t.State.Inventory.WithHeld(blocks, j.Movable())
	j = j.WithStartOrdered(t.Now())
	t.PutJob(j)
	t.AttachJob(j)
	if j.CancelRequested {
		t.Stop(j, chutejob.StopCancelled)
	}
}
