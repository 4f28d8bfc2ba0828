package chuteshard

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteallocator"
	"monsoonchute.example/monsoonchute/chutejob"
)

const (
	// planInterval is the maximum time between two planning passes.
	planInterval = time.Second
	// maxGrants is the maximum number of grants in one pass, so that a zone that comes back is filled gradually.
	maxGrants = 16
)

// plan runs a planning pass if something changed since the latest one or planInterval has passed.
func (t *transition) plan() {
	if !t.Environment.MayStart || !t.State.PlanDue && t.Now().Sub(t.state.plannedAt) < planInterval {
		return
	}
	t.State.PlanDue = false
	t.state.plannedAt = t.Now()
	decision := chuteallocator.Plan(t.planView())
	t.State.Inventory = decision.Inventory
	for _, g := range decision.Grants {
		t.preempt(g.Victims)
		t.grant(g)
	}
	t.State.PlanDue = len(decision.Grants) > 0
	t.state.limits = t.state.limits.Sync(t.Transition, decision.Held)
}

// planView returns the input of a planning pass: the jobs that hold accelerators and the jobs that may start now.
func (t *transition) planView() chuteallocator.View {
	view := chuteallocator.View{Now: t.Now(), Document: t.Environment.Document, Inventory: t.State.Inventory, MaxGrants: maxGrants}
	for _, j := range t.State.Live() {
		switch {
		case j.Phase != chutejob.PhaseWaiting:
			view.Holding = append(view.Holding, j)
		case !j.CancelRequested && !t.Now().Before(j.NotBefore):
			view.Waiting = append(view.Waiting, j)
		}
	}
	view.Rooms = t.state.limits.Rooms(t.Transition)
	return view
}

// preempt stops the victims of a grant. The plan has already ended the assignments of victims that were still claiming.
func (t *transition) preempt(victims []chutejob.ID) {
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

// grant gives the job its accelerators, or assigns them to it while other jobs still hold them.
func (t *transition) grant(g chuteallocator.Grant) {
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
