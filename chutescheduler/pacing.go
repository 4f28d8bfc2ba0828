package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutepacing"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterun"
)

// paceWorker adjusts the filling tasks on a worker to the tails of the serving tasks beside them, as just reported.
func (t *turn) paceWorker(id chuterun.WorkerID) {
	w, ok := t.pool.Get(id)
	if !ok {
		return
	}
	tail, limit, serves := t.worstTail(w)
	for _, r := range w.Runs() {
		if r.Phase != chutepool.RunWorking || !t.fills(r) {
			continue
		}
		next := chutepacing.Full
		if serves {
			next = chutepacing.Next(r.Pace(), tail, limit, t.Now.Sub(r.PacedAt))
		}
		if next != r.Pace() {
			t.orderPace(id, r.WithPace(next, t.Now), tail, limit)
		}
	}
}

func (t *turn) orderPace(id chuterun.WorkerID, r chutepool.Run, tail, limit time.Duration) {
	w, _ := t.pool.Get(id)
	t.putWorker(w.WithRun(r))
	t.Count("run-paced", "tail")
	t.Log(part, "filling run is paced", r.ID.Task.Job, "run", r.ID, "worker", id, "percent", r.Pace(), "tail", tail, "limit", limit)
	t.Emit(chuteaction.PaceRun{WorkerTarget: t.target(w), Run: r.ID, Percent: r.Pace()})
}

// worstTail returns the tail that is closest to its limit, or furthest over it, of the serving tasks on a worker.
func (t *turn) worstTail(w chutepool.Worker) (tail, limit time.Duration, serves bool) {
	for _, r := range w.Runs() {
		j, ok := t.Job(r.ID.Task.Job)
		if !ok || r.Phase != chutepool.RunWorking {
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

func (t *turn) fills(r chutepool.Run) bool {
	j, ok := t.Job(r.ID.Task.Job)
	return ok && j.Step(r.ID.Task.StepID).Fill
}

// mixed reports whether filling and serving tasks share the worker, so that its tails must be read often.
func (t *turn) mixed(w chutepool.Worker) bool {
	_, _, serves := t.worstTail(w)
	if !serves {
		return false
	}
	for _, r := range w.Runs() {
		if t.fills(r) {
			return true
		}
	}
	return false
}
