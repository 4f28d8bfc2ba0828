package chuteplanner

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutepacing"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// PaceWorker adjusts the filling tasks on a worker to the tails of the serving tasks beside them, as just reported.
func PaceWorker(t *chuterunner.Transition, id chutetask.WorkerID) {
	w, ok := t.Pool.Get(id)
	if !ok {
		return
	}
	tail, limit, serves := worstTail(t, w)
	for _, r := range w.Runs() {
		if r.Phase != chutepool.RunStarted || !fills(t, r) {
			continue
		}
		next := chutepacing.FullPace
		if serves {
			next = chutepacing.NextPace(r.Pace(), tail, limit, t.Now.Sub(r.PacedAt))
		}
		if next != r.Pace() {
			orderPace(t, id, r.WithPace(next, t.Now), tail, limit)
		}
	}
}

func orderPace(t *chuterunner.Transition, id chutetask.WorkerID, r chutepool.Run, tail, limit time.Duration) {
	w, _ := t.Pool.Get(id)
	t.PutWorker(w.WithRun(r))
	t.Count("run-paced", "tail")
	t.Log(part, "filling run is paced", r.ID.Task.Job, "run", r.ID, "worker", id, "percent", r.Pace(), "tail", tail, "limit", limit)
	t.Emit(chuteaction.PaceRun{WorkerTarget: t.Target(w), Run: r.ID, Percent: r.Pace()})
}

// worstTail returns the tail that is closest to its limit, or furthest over it, of the serving tasks on a worker.
func worstTail(t *chuterunner.Transition, w chutepool.Worker) (tail, limit time.Duration, serves bool) {
	for _, r := range w.Runs() {
		j, ok := t.Job(r.ID.Task.Job)
		if !ok || r.Phase != chutepool.RunStarted {
			continue
		}
		step := j.Step(r.ID.Task.StepID)
		if step.TailLimit <= 0 {
			continue
		}
		read := time.Duration(r.Usage) * time.Millisecond
		if !serves || float64(read)*float64(limit) > float64(tail)*float64(step.TailLimit) {
			tail, limit, serves = read, step.TailLimit, true
		}
	}
	return tail, limit, serves
}

func fills(t *chuterunner.Transition, r chutepool.Run) bool {
	j, ok := t.Job(r.ID.Task.Job)
	return ok && j.Step(r.ID.Task.StepID).BestEffort
}

// Mixed reports whether filling and serving tasks share the worker, so that its tails must be read often.
func SharedWithBestEffort(t *chuterunner.Transition, w chutepool.Worker) bool {
	_, _, serves := worstTail(t, w)
	if !serves {
		return false
	}
	for _, r := range w.Runs() {
		if fills(t, r) {
			return true
		}
	}
	return false
}
