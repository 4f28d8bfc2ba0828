package chutetakeover

import (
	"monsoonchute.example/monsoonchute/chutecrash"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// InheritCrashes notes what an earlier scheduler recorded of crashes under the tasks of a job.
func InheritCrashes(t *chuterunner.Transition, j chutetask.Job) {
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		chutecrash.Inherit(t.Transition, id, task.Crashes)
	})
}

// InheritRuns reserves capacity for a job's recorded runs, running or with start orders in flight, and counts them.
func (p Predecessor) InheritRuns(t *chuterunner.Transition, j chutetask.Job) int {
	count := 0
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		if task.Phase != chutetask.TaskActive {
			return
		}
		count++
		w, ok := t.Pool.Get(task.Worker)
		if !ok {
			w = p.unreachedWorker(t, task.Worker)
		}
		if w.LeaseExpiryBound.IsZero() && w.AnsweredAt.IsZero() { // listed before the job became known
			w.LeaseExpiryBound = p.leaseEnd(t, task.Worker)
		}
		run := chutepool.Run{
			ID: chutegraph.RunID{Task: id, Number: task.Run}, Reserved: j.Step(id.StepID).Reserved(),
			Priority: j.Priority, StartUnanswered: true, Inherited: true, Checkpoint: task.Checkpoint, Quarantined: task.Quarantined,
			Workspace: j.Workspace, Request: j.Step(id.StepID).Request,
		}.WithPhase(chutepool.RunOrdered, t.Now)
		t.PutWorker(w.WithRun(run))
	})
	return count
}

// unreachedWorker returns a worker of which this scheduler knows only what earlier ones have told.
func (p Predecessor) unreachedWorker(t *chuterunner.Transition, id chutetask.WorkerID) chutepool.Worker {
	w := chutepool.NewWorker(chutepool.Listing{ID: id}, t.Now).WithUnlisted()
	if address, ok := p.leader.Row.Handover.AddressOf(id); ok {
		w.Address, w.AnsweredFrom = address, address
	}
	return w
}
