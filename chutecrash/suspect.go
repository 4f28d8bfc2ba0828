package chutecrash

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteoutage"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Inherit notes what an earlier scheduler recorded of the crashes under a task: silent workers that may have crashed, a task
// that may have to be given up, and the latest crashes as evidence about others.
func Inherit(t *chuteledger.Transition, id chutegraph.TaskID, record chutequarantine.Record) {
	if record.OnHold() {
		Accuse(t, id)
	}
	for _, c := range record.Crashes() {
		if !c.Confirmed {
			addSuspect(t, id, c.Worker)
		}
		if t.Now.Sub(c.At) <= 2*chuteoutage.Window && !c.Planned {
			t.Outages = t.Outages.WithCrash(chuteoutage.Crash{Worker: c.Worker, Incarnation: c.Incarnation, At: c.At, Runs: []chutegraph.RunID{runOf(id, c)}})
		}
	}
}

// NoteRestartBefore notes, at a worker's first answer to this scheduler, that the worker has restarted around the takeover, as
// evidence about other crashes. A crash under a run that the earlier scheduler recorded is found by itself.
func NoteRestartBefore(t *chuteledger.Transition, w chutepool.Worker, incarnation int64, age time.Duration) {
	recorded := t.Outages.Crashed(string(w.ID)) || slices.ContainsFunc(w.Runs(), func(r chutepool.Run) bool {
		return inheritedFromBefore(t, r, incarnation)
	})
	restartedAt := t.Now.Add(-age)
	if recorded || age == 0 || restartedAt.Sub(t.LeaderSince).Abs() > 2*chuteoutage.Window {
		return
	}
	t.Outages = t.Outages.WithCrash(chuteoutage.Crash{Worker: string(w.ID), Place: placeOf(w), At: restartedAt})
}

// runOf returns the run of a crash that is recorded under the task, or under the first member of its gang.
func runOf(id chutegraph.TaskID, c chutequarantine.Crash) chutegraph.RunID {
	if c.Member > 0 {
		id.Index = c.Member
	}
	return chutegraph.RunID{Task: id, Number: c.Run}
}

// addSuspect notes that the worker may have crashed under the task.
func addSuspect(t *chuteledger.Transition, id chutegraph.TaskID, worker string) {
	known, _ := t.Suspects.Get(chutetask.WorkerID(worker))
	if !slices.Contains(known, id) {
		t.Suspects = t.Suspects.Set(chutetask.WorkerID(worker), append(slices.Clone(known), id))
	}
}

// Resolve corrects the records of the tasks under which a worker seemed to crash, now that an incarnation of it
// has answered.
func Resolve(t *chuteledger.Transition, worker chutetask.WorkerID, incarnation int64) {
	suspects, ok := t.Suspects.Get(worker)
	if !ok {
		return
	}
	t.Suspects = t.Suspects.Delete(worker)
	for _, id := range suspects {
		j, ok := t.Job(id.Job)
		if !ok || j.Phase.Ended() {
			continue
		}
		crashes := j.Crashes(id).WithAnswer(string(worker), incarnation)
		t.Log(component, "silent worker answers", j.ID, "task", id, "worker", worker, "incarnation", incarnation, "runs-with-crash", crashes.Runs())
		put(t, j, id, crashes)
	}
}

// Confirm confirms the crashes of workers that have been silent for long.
func Confirm(t *chuteledger.Transition) {
	for i := t.Suspects.Iterator(); !i.Done(); {
		worker, suspects, _ := i.Next()
		for _, id := range suspects {
			confirmIfGone(t, worker, id)
		}
	}
}

func confirmIfGone(t *chuteledger.Transition, worker chutetask.WorkerID, id chutegraph.TaskID) {
	j, ok := t.Job(id.Job)
	live := ok && !j.Phase.Ended()
	if live && j.Crashes(id).WithTime(t.Now).Unconfirmed(string(worker)) {
		return
	}
	known, _ := t.Suspects.Get(worker)
	rest := slices.DeleteFunc(slices.Clone(known), func(other chutegraph.TaskID) bool { return other == id })
	t.Suspects = t.Suspects.Set(worker, rest)
	if len(rest) == 0 {
		t.Suspects = t.Suspects.Delete(worker)
	}
	if live {
		put(t, j, id, j.Crashes(id).WithTime(t.Now))
	}
}
