package chuteentry_test

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

type fakeRun struct {
	id           chutegraph.RunID
	step         chutegraph.Step
	job          *fakeJob
	startedAt    time.Time
	waitsForGang bool // other members of its gang have not started yet
	ended        bool
	pace         int // percentage of full speed
	work         fakeWork
}

// percent returns the progress of the run: a task that lasts is at work from its start, and others show their progress only if
// the simulation follows their work.
func (r *fakeRun) percent(now time.Time) int {
	if r.step.LongRunning {
		return 100
	}
	if r.work.speed == 0 {
		return 0
	}
	return int(100 * float64(r.work.at(now).done) / float64(r.job.durationOf(r.id.Task.Step)))
}

// crashDelay returns how long a task runs before it crashes its worker.
func (sm *simulation) crashDelay() time.Duration {
	if sm.fixedCrashDelay > 0 {
		return sm.fixedCrashDelay
	}
	return 50*time.Millisecond + time.Duration(sm.random.Int64N(int64(maxCrashDelay)))
}

// startRun starts a run and checks the invariants of a start.
func (k *fakeWorker) startRun(o chuteaction.StartRun, from sender) {
	sm := k.sim
	job := sm.clients.jobs[o.Run.Task.Job]
	if job == nil {
		sm.reportViolation("%s was started, but nobody submitted it", o.Run)
		return
	}
	step := job.spec.Steps[o.Run.Task.Step]
	sm.checkStart(k, o, job, from)
	r := &fakeRun{id: o.Run, step: step, job: job, startedAt: sm.now, waitsForGang: step.Gang, pace: 100}
	k.runs[o.Run] = r
	if job.isDeadly(k, o.Run.Task) {
		sm.after(sm.crashDelay(), func() { k.crashUnder(r) })
	}
	if step.Gang {
		sm.after(gangTimeout, func() {
			if r.waitsForGang && !r.ended {
				k.endRun(r, chutetask.EndGangIncomplete)
			}
		})
		sm.startCompleteGang(r)
		return
	}
	k.work(r)
}

// startCompleteGang starts the work of a gang once all of its members have started.
func (sm *simulation) startCompleteGang(r *fakeRun) {
	var members []*fakeRun
	var workers []*fakeWorker
	for _, name := range sm.workerNames() {
		for _, other := range sm.workers[name].sortedRuns() {
			if other.id.Task.StepID == r.id.Task.StepID && other.id.Number == r.id.Number {
				members = append(members, other)
				workers = append(workers, sm.workers[name])
			}
		}
	}
	if len(members) < r.step.Count {
		return
	}
	for i, m := range members {
		m.waitsForGang = false
		workers[i].work(m)
	}
}

func (k *fakeWorker) work(r *fakeRun) {
	if k.failsRuns {
		k.sim.after(100*time.Millisecond, func() { k.endRun(r, chutetask.EndFailed) })
		return
	}
	if k.sim.saved != nil {
		k.workOn(r)
		return
	}
	k.sim.after(r.job.durationOf(r.id.Task.Step), func() {
		if !k.dead {
			k.endRun(r, chutetask.EndDone)
		}
	})
}

func (k *fakeWorker) sortedRuns() []*fakeRun {
	ids := make([]chutegraph.RunID, 0, len(k.runs))
	for id := range k.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, chutegraph.RunID.Compare)
	runs := make([]*fakeRun, len(ids))
	for i, id := range ids {
		runs[i] = k.runs[id]
	}
	return runs
}

func (k *fakeWorker) endRun(r *fakeRun, kind chutetask.EndKind) {
	if r.ended {
		return
	}
	r.ended = true
	delete(k.runs, r.id)
	k.highestEndedRun[r.id.Task] = max(k.highestEndedRun[r.id.Task], r.id.Number)
	k.lastEndNumber++
	checkpoint := ""
	if r.step.Checkpointing && !r.waitsForGang {
		checkpoint = "saved"
	}
	k.ends = append(k.ends, chutetask.RunEnd{Number: k.lastEndNumber, Run: r.id, Kind: kind, Checkpoint: checkpoint})
	k.endedAt[r.id] = k.sim.now
	if kind == chutetask.EndDone {
		r.job.doneAt[r.id.Task] = k.sim.now
	} else {
		k.sim.loseWork(r)
	}
	r.job.hasFailedRuns = r.job.hasFailedRuns || kind == chutetask.EndFailed
	if r.step.Gang {
		k.sim.endGang(r, kind)
	}
}

// endGang ends the other members of the run's gang.
func (sm *simulation) endGang(r *fakeRun, kind chutetask.EndKind) {
	for _, name := range sm.workerNames() {
		k := sm.workers[name]
		for _, other := range k.sortedRuns() {
			if other.id.Task.StepID != r.id.Task.StepID || other.id.Number != r.id.Number {
				continue
			}
			if kind == chutetask.EndDone {
				k.endRun(other, kind)
			} else {
				k.endRun(other, chutetask.EndGangBroken)
			}
		}
	}
}
