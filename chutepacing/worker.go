package chutepacing

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

const component = "scheduler" // pacing logs as part of the scheduler

// PaceWorker adjusts the pace of the best-effort tasks on a worker to the tail latencies that its serving tasks have
// just reported.
func PaceWorker(t *chuteledger.Transition, id chutetask.WorkerID) {
	w, ok := t.Pool.Get(id)
	if !ok {
		return
	}
	tail, limit, serves := worstTail(t, w)
	for _, r := range w.Runs() {
		if r.Phase != chutepool.RunStarted || !isBestEffort(t, r) {
			continue
		}
		next := chutepool.FullPace
		if serves {
			next = NextPace(r.Pace(), tail, limit, t.Now.Sub(r.PacedAt))
		}
		if next != r.Pace() {
			sendPace(t, id, r.WithPace(next, t.Now), tail, limit)
		}
	}
}

// sendPace stores the run with its new pace and orders the worker to apply it.
func sendPace(t *chuteledger.Transition, id chutetask.WorkerID, r chutepool.Run, tail, limit time.Duration) {
	w, _ := t.Pool.Get(id)
	t.PutWorker(w.WithRun(r))
	t.Count("run-paced", "tail")
	t.Log(component, "pace of best-effort run changed", r.ID.Task.Job, "run", r.ID, "worker", id,
		"percent", r.Pace(), "tail", tail, "limit", limit)
	t.Emit(chuteaction.PaceRun{WorkerTarget: t.Target(w), Run: r.ID, Percent: r.Pace()})
}

// worstTail returns the tail latency and the limit of the serving task on the worker whose tail is highest relative to
// its limit, and false if no serving task runs there.
func worstTail(t *chuteledger.Transition, w chutepool.Worker) (tail, limit time.Duration, serves bool) {
	for _, r := range w.Runs() {
		j, ok := t.Job(r.ID.Task.Job)
		if !ok || r.Phase != chutepool.RunStarted {
			continue
		}
		step := j.Step(r.ID.Task.StepID)
		if step.TailLimit <= 0 {
			continue
		}
		latency := time.Duration(r.Usage) * time.Millisecond
		if !serves || float64(latency)*float64(limit) > float64(tail)*float64(step.TailLimit) {
			tail, limit, serves = latency, step.TailLimit, true
		}
	}
	return tail, limit, serves
}

// isBestEffort reports whether the run belongs to a best-effort step.
func isBestEffort(t *chuteledger.Transition, r chutepool.Run) bool {
	j, ok := t.Job(r.ID.Task.Job)
	return ok && j.Step(r.ID.Task.StepID).BestEffort
}

// SharedWithBestEffort reports whether best-effort and serving tasks share the worker, so that the tail latencies must
// be read often.
func SharedWithBestEffort(t *chuteledger.Transition, w chutepool.Worker) bool {
	_, _, serves := worstTail(t, w)
	if !serves {
		return false
	}
	for _, r := range w.Runs() {
		if isBestEffort(t, r) {
			return true
		}
	}
	return false
}
