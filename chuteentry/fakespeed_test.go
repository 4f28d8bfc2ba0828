package chuteentry_test

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// checkpointInterval is the time between two checkpoints of a task's work.
const checkpointInterval = time.Second

// fakeWork is the work of a run that advances with the speed of its worker, or of the slowest worker of its gang.
type fakeWork struct {
	done       time.Duration // work that was done by the time since, on a healthy worker
	since      time.Time     // since when it advances with the speed
	speed      float64       // 1 on a healthy worker; 0 before the run works
	generation int           // number of changes of the speed
}

func (w fakeWork) at(now time.Time) fakeWork {
	w.done += time.Duration(float64(now.Sub(w.since)) * w.speed)
	w.since = now
	return w
}

// speedOf returns the speed at which the run works on the worker, and a gang at that of its slowest worker.
func (sm *simulation) speedOf(k *fakeWorker, r *fakeRun) float64 {
	slowest := max(1, k.slowness)
	if r.step.Gang {
		for _, other := range sm.workers {
			for id := range other.runs {
				if id.Task.StepID == r.id.Task.StepID && id.Number == r.id.Number {
					slowest = max(slowest, other.slowness)
				}
			}
		}
	}
	return 1 / slowest
}

// workOn lets the run work from what it has saved.
func (k *fakeWorker) workOn(r *fakeRun) {
	r.work = fakeWork{done: k.sim.saved[r.id.Task], since: k.sim.now}
	k.updateSpeed(r)
}

// updateSpeed lets the run go on with the present speed, and ends it when its work is done.
func (k *fakeWorker) updateSpeed(r *fakeRun) {
	sm := k.sim
	r.work = r.work.at(sm.now)
	r.work.speed = sm.speedOf(k, r)
	r.work.generation++
	generation := r.work.generation
	left := float64(r.job.durationOf(r.id.Task.Step)-r.work.done) / r.work.speed
	sm.after(time.Duration(left), func() {
		if !k.dead && !r.ended && r.work.generation == generation {
			k.endRun(r, chutetask.EndDone)
		}
	})
}

// slowDown makes a share of the workers slower by the factor for the time.
func (sm *simulation) slowDown(share, factor float64, d time.Duration) {
	var slowed []*fakeWorker
	for _, k := range sm.sortedWorkers() {
		if sm.chance(share) {
			slowed = append(slowed, k)
		}
	}
	sm.setSlowness(slowed, factor)
	sm.after(d, func() { sm.setSlowness(slowed, 1) })
}

func (sm *simulation) setSlowness(workers []*fakeWorker, factor float64) {
	for _, k := range workers {
		k.slowness = factor
	}
	for _, k := range sm.sortedWorkers() {
		for _, r := range k.sortedRuns() {
			if r.work.speed > 0 {
				k.updateSpeed(r)
			}
		}
	}
}

// loseWork counts the work that the end of the run discards, in core-seconds, and saves the rest.
func (sm *simulation) loseWork(r *fakeRun) {
	if r.work.speed == 0 {
		return
	}
	r.work = r.work.at(sm.now)
	from := sm.saved[r.id.Task]
	if r.step.Checkpointing {
		sm.saved[r.id.Task] = max(from, r.work.done.Truncate(checkpointInterval))
	}
	sm.discarded += r.step.Request.Cores() * (r.work.done - sm.saved[r.id.Task]).Seconds() / r.work.speed
}

// followWork makes the tasks of the simulation work with the speeds of their workers and report their progress.
func (sm *simulation) followWork() {
	sm.saved = make(map[chutegraph.TaskID]time.Duration)
}
