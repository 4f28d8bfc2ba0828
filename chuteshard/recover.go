package chuteshard

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// recover takes over the jobs from the rows that earlier owners wrote. What the rows cannot tell, the workers' reports
// do: a written attempt counts as ordered until the report of its worker under this epoch lists it or leaves it out.
func (t *turn) recover(rows []chutetable.StoredRow) {
	t.state.recovered = true
	t.State.PlanDue = true
	// Of two attempts on the same accelerators the one written first has given them up.
	slices.SortFunc(rows, func(a, b chutetable.StoredRow) int { return cmp.Compare(b.Version, a.Version) })
	for _, stored := range rows {
		row, ok := stored.Row.(chutetable.JobRow)
		if !ok {
			continue
		}
		t.recoverJob(row.Job)
	}
}

func (t *turn) recoverJob(j chutejob.Job) {
	switch j.Phase {
	case chutejob.PhaseEnded:
		t.PutJob(j)
	case chutejob.PhaseWaiting, chutejob.PhaseClaiming:
		t.recoverWaiting(j)
	case chutejob.PhaseReserved, chutejob.PhaseReady, chutejob.PhaseStarting, chutejob.PhaseRunning,
		chutejob.PhaseCheckpointing, chutejob.PhaseStopping:
		t.adopt(j)
	}
}

func (t *turn) recoverWaiting(j chutejob.Job) {
	j = j.WithWaiting(t.Now())
	t.PutJob(j)
	if j.CancelRequested {
		t.Stop(j, chutejob.StopCancelled)
	}
}

// adopt takes over an attempt that may run.
func (t *turn) adopt(j chutejob.Job) {
	for i, p := range j.Parts {
		if t.State.Inventory.Held([]chutetopology.Block{p.Block}) {
			j = j.WithPartReleased(i)
		}
	}
	blocks := j.Blocks()
	if j.Guaranteed {
		book, ok := t.State.Inventory.WithAdopted(j.Spec.Workspace, string(j.ID), j.Spec.Shape, blocks)
		t.State.Inventory = book
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
