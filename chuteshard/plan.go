package chuteshard

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteallocator"
	"monsoonchute.example/monsoonchute/chutejob"
)

const (
	// planInterval is the longest time between planning passes while jobs wait.
	planInterval = time.Second
	// maxGrants bounds the grants of one pass, so that a returning zone is filled step by step.
	maxGrants = 16
)

// plan runs a planning pass if something changed or the latest is old.
func (t *turn) plan() {
	if !t.Environment.MayStart || !t.State.PlanDue && t.Now().Sub(t.state.plannedAt) < planInterval {
		return
	}
	t.State.PlanDue = false
	t.state.plannedAt = t.Now()
	book, grants := chuteallocator.Plan(t.view())
	t.State.Inventory = book
	for _, g := range grants {
		t.evict(g.Victims)
		t.grant(g)
	}
	t.State.PlanDue = len(grants) > 0
}

func (t *turn) view() chuteallocator.View {
	view := chuteallocator.View{Now: t.Now(), Document: t.Environment.Document, Inventory: t.State.Inventory, MaxGrants: maxGrants}
	for _, j := range t.State.Live() {
		switch {
		case j.Phase != chutejob.PhaseWaiting:
			view.Holding = append(view.Holding, j)
		case !j.CancelRequested && !t.Now().Before(j.NotBefore):
			view.Waiting = append(view.Waiting, j)
		}
	}
	return view
}

// evict stops the victims of a grant; the plan has ended the promises of those that were still claiming.
func (t *turn) evict(victims []chutejob.ID) {
	for _, id := range victims {
		j, ok := t.State.LiveJob(id)
		if !ok {
			continue
		}
		t.Count("job-stopped", chutejob.StopReclaimed.String())
		if j.Phase == chutejob.PhaseClaiming {
			t.PutJob(j.WithWaiting(t.Now()))
			continue
		}
		t.Stop(j, chutejob.StopReclaimed)
	}
}

// grant gives the job its accelerators, or the promise of them.
func (t *turn) grant(g chuteallocator.Grant) {
	j, ok := t.State.LiveJob(g.Job)
	if !ok {
		return
	}
	j = j.WithGrant(chutejob.PhaseClaiming, g.Blocks, g.Guaranteed, t.Now())
	t.PutJob(j)
	if g.Held {
		t.Reserve(j)
	}
}
