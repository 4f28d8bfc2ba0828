package chuteoccupancy

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutetask"
	"monsoonchute.example/monsoonchute/chuteurgency"
)

// restartWait is how long a stopped run is taken to wait for its next start: its stop, and capacity under load.
const restartWait = 2 * time.Second

// stopDelay is how long a run takes to stop for a demand, and the demand to start then.
const stopDelay = 300 * time.Millisecond

// leastValuePerWork is the value that a core-second of work counts as at least when a run is stopped, since a job that has lapsed has
// to complete as well. It is that of a job of the lowest priority with an hour's work of ten cores.
const leastValuePerWork = 1.0 / 36000

// appraisal tells what jobs are worth relative to the usual work of their queues.
type appraisal struct {
	ledger *chuteledger.Transition
	usual  map[string]float64                       // mean work of the live jobs by queue, in core-seconds
	steps  map[chutegraph.StepID]chuteurgency.Facts // those asked for already
}

func newAppraisal(t *chuteledger.Transition) appraisal {
	a := appraisal{ledger: t, usual: make(map[string]float64), steps: make(map[chutegraph.StepID]chuteurgency.Facts)}
	jobs := make(map[string]float64)
	for i := t.Live.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		a.usual[j.Queue] += j.Spec.EstimatedWork()
		jobs[j.Queue]++
	}
	for queue, n := range jobs {
		a.usual[queue] /= n
	}
	return a
}

// facts returns the facts of the job from the step on, with its work.
func (a appraisal) facts(j chutetask.Job, id chutegraph.StepID) chuteurgency.Facts {
	if f, known := a.steps[id]; known {
		return f
	}
	f := a.ledger.Facts(j, id)
	f.Work = j.Spec.EstimatedWork()
	if usual := a.usual[j.Queue]; usual > 0 {
		f.Size = f.Work / usual
	}
	a.steps[id] = f
	return f
}

// Gain returns the value that is lost if no run is stopped for the step now, and false if its job has no objective.
func (o Occupancy) Gain(id chutegraph.StepID) (float64, bool) {
	j, ok := o.ledger.Job(id.Job)
	if !ok {
		return 0, false
	}
	f := o.appraisal.facts(j, id)
	return f.Gain(stopDelay, o.ledger.Now), f.Objective > 0
}

// loss is the value that the stop of a run loses.
type loss struct {
	wasted float64 // value of its lost work
	missed float64 // value that its job loses since it ends later
}

// lossOf returns what the stop of the run loses if so many core-seconds of its work are not saved.
func (a appraisal) lossOf(r placedRun, unsaved float64) loss {
	id := r.ID.Task.StepID
	j, ok := a.ledger.Job(id.Job)
	if !ok {
		return loss{}
	}
	f := a.facts(j, id)
	if r.remaining < chuteledger.UnknownRemaining && f.Objective > 0 {
		estimate := float64(j.Step(id).Estimate) * a.ledger.Runtimes.Typical(j.Queue)
		f.Path = max(0, f.Path-time.Duration(estimate)) + max(0, r.remaining)
	}
	lost := time.Duration(unsaved / max(1, r.Reserved.Cores()) * float64(time.Second))
	return loss{
		wasted: unsaved * max(leastValuePerWork, f.ValuePerWork(a.ledger.Now)),
		missed: f.ValueAfter(0, a.ledger.Now) - f.ValueAfter(restartWait+lost, a.ledger.Now),
	}
}
