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

const component = "scheduler"

// mayHaveRun reports whether the run may have been running when its worker crashed.
func mayHaveRun(r chutepool.Run) bool {
	switch r.Phase {
	case chutepool.RunOrdered:
		return r.OrdersSent > 0 || r.Inherited
	case chutepool.RunStarted, chutepool.RunStopping:
		return true
	case chutepool.RunPlanned, chutepool.RunRecording:
	}
	return false
}

// NoteBegun takes note that the worker has confirmed the run. It is recorded if workers have crashed under its task or gang before:
// a later scheduler counts a crash under the run only then.
func NoteBegun(t *chuteledger.Transition, run chutegraph.RunID) {
	t.NoteRunBegun(run.Task.Job)
	j, ok := t.Job(run.Task.Job)
	if !ok || j.Phase.Ended() {
		return
	}
	task, ok := j.Task(run.Task)
	if !ok || task.Run != run.Number || task.Begun || j.Crashes(run.Task).Empty() {
		return
	}
	if j = j.WithTask(run.Task, task.WithBegun()); j.FitsInStore() {
		t.PutJob(j)
	}
}

// began reports whether the worker has confirmed the run, to this scheduler or to an earlier one, and otherwise whether that is
// not known, as it is not recorded of the runs before the first crash. Such a run of a single task counts as confirmed; in a
// gang the crash may be the only one under its member.
func began(t *chuteledger.Transition, r chutepool.Run) (confirmed, unknown bool) {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok || !r.StartedAt.IsZero() {
		return ok, false
	}
	task, ok := j.Task(r.ID.Task)
	if !ok || !r.Inherited {
		return false, false
	}
	unrecorded := !j.Crashes(r.ID.Task).HasEarlier(r.ID.Number)
	gang := j.Step(r.ID.Task.StepID).Gang
	confirmed = task.Begun || unrecorded && !gang
	return confirmed, unrecorded && !confirmed
}

// Record records the crash of a worker in the tasks of the runs that it may have been running. A crash that is not
// confirmed may be a cut.
func Record(t *chuteledger.Transition, w chutepool.Worker, runs []chutepool.Run, confirmed bool) {
	recordAt(t, w, runs, confirmed, t.Now)
}

// recordAt does so for a crash that counts at the time as evidence about others.
func recordAt(t *chuteledger.Transition, w chutepool.Worker, runs []chutepool.Run, confirmed bool, at time.Time) {
	if w.Maintained {
		return
	}
	planned := w.EndsAsPlanned(t.Now)
	runs = slices.DeleteFunc(slices.Clone(runs), func(r chutepool.Run) bool { return !mayHaveRun(r) || r.AfterRestart })
	if !planned {
		t.Outages = t.Outages.WithCrash(outageCrash(w, runs, at))
	}
	for _, r := range runs {
		begun, unknown := began(t, r)
		crash := chutequarantine.Crash{
			Run: r.ID.Number, Worker: string(w.ID), Incarnation: incarnation(t, w, r), Began: begun, Unknown: unknown, Quarantined: r.Quarantined,
			Confirmed: confirmed, At: t.Now,
		}
		if planned {
			crash = crash.WithPlan()
		}
		record(t, w, r, crash)
	}
}

// incarnation returns the incarnation of the worker that crashed under the run: where the worker has not answered this scheduler,
// the one for which an earlier scheduler recorded the run.
func incarnation(t *chuteledger.Transition, w chutepool.Worker, r chutepool.Run) int64 {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok || w.Incarnation != 0 || !r.Inherited {
		return w.Incarnation
	}
	if task, ok := j.Task(r.ID.Task); ok && task.Run == r.ID.Number {
		return task.Incarnation
	}
	return 0
}

// outageCrash returns the crash of a worker for the history of all crashes.
func outageCrash(w chutepool.Worker, runs []chutepool.Run, at time.Time) chuteoutage.Crash {
	crash := chuteoutage.Crash{Worker: string(w.ID), Incarnation: w.Incarnation, Place: placeOf(w), At: at}
	for _, r := range runs {
		crash.Runs = append(crash.Runs, r.ID)
	}
	return crash
}

// Withdraw withdraws the crash of an incarnation of the worker, which goes on.
func Withdraw(t *chuteledger.Transition, worker chutetask.WorkerID, incarnation int64) {
	outages, runs := t.Outages.WithoutCrash(string(worker), incarnation)
	t.Outages = outages
	for _, run := range runs {
		if j, ok := t.Job(run.Task.Job); ok && !j.Phase.Ended() {
			t.Log(component, "crash of a worker is withdrawn", j.ID, "run", run, "worker", worker)
			put(t, j, run.Task, j.Crashes(run.Task).WithoutCrash(run.Number, member(j, run.Task), string(worker)))
		}
	}
}

func placeOf(w chutepool.Worker) chuteoutage.Place {
	return chuteoutage.Place{Service: w.Service, Zone: w.Zone, Rack: w.Rack}
}

// record records the crash of the worker during a run, unless its task is done.
func record(t *chuteledger.Transition, w chutepool.Worker, r chutepool.Run, crash chutequarantine.Crash) {
	run := r.ID
	j, ok := t.Job(run.Task.Job)
	if !ok || j.Phase.Ended() {
		return
	}
	if task, ok := j.Task(run.Task); !ok || task.Phase == chutetask.TaskDone {
		return
	}
	crash.Member = member(j, run.Task)
	crashes := j.Crashes(run.Task)
	lived := w.AnsweredAt.Sub(r.StartedAt)
	if j.Step(run.Task.StepID).LongRunning && !r.StartedAt.IsZero() && lived >= crashes.Probation() {
		crashes = crashes.WithSurvival(run.Number) // it need not be quarantined to show that it does no harm
	}
	crashes = crashes.WithCrash(crash)
	t.Count("crash-recorded", crashReason(crash))
	t.Log(component, "worker crashed, or is silent, under a run", j.ID, "run", run, "worker", crash.Worker, "confirmed", crash.Confirmed,
		"quarantined", crash.Quarantined, "runs-with-crash", crashes.Runs(), "began", crash.Began, "unknown", crash.Unknown,
		"other-workers", t.Outages.Around(w.Service, t.Now, j.ID))
	if !j.WithCrashes(run.Task, crashes).FitsInStore() {
		j = j.WithoutExplainedCrashes()
	}
	if !j.WithCrashes(run.Task, crashes).FitsInStore() {
		t.Count("crash-dropped", "no-room")
		return
	}
	put(t, j, run.Task, crashes)
	if !crash.Confirmed {
		addSuspect(t, run.Task, crash.Worker)
	}
}

// member returns the number under which crashes under the task are recorded: its index in a gang.
func member(j chutetask.Job, id chutegraph.TaskID) int {
	if j.Step(id.StepID).Gang {
		return id.Index
	}
	return 0
}

func crashReason(crash chutequarantine.Crash) string {
	if crash.Confirmed {
		return "confirmed"
	}
	return "silent"
}

// RecordInherited records the crash of a worker under a run that an earlier scheduler recorded for a former
// incarnation of it, and reports whether that is so.
func RecordInherited(t *chuteledger.Transition, worker chutetask.WorkerID, r chutepool.Run) bool {
	w, _ := t.Pool.Get(worker)
	if !inheritedFromBefore(t, r, w.Incarnation) {
		return false
	}
	t.PutWorker(w.WithCrash(t.Now))
	j, _ := t.Job(r.ID.Task.Job)
	task, _ := j.Task(r.ID.Task)
	recordAt(t, w.WithIncarnation(task.Incarnation), []chutepool.Run{r}, true, w.Clock.ReadAt.Add(-w.Clock.Reading))
	return true
}

// inheritedFromBefore reports whether an earlier scheduler recorded the run for an incarnation of its worker before the given
// one.
func inheritedFromBefore(t *chuteledger.Transition, r chutepool.Run, incarnation int64) bool {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok || !r.Inherited {
		return false
	}
	task, ok := j.Task(r.ID.Task)
	return ok && task.Run == r.ID.Number && task.Incarnation != 0 && task.Incarnation < incarnation
}

// EndProbations opens a worker to other runs once its quarantined runs have outlived their probation, or need none any more
// since the crashes under them had a common cause with others.
func EndProbations(t *chuteledger.Transition, w chutepool.Worker) {
	if !w.InQuarantine() {
		return
	}
	for _, r := range w.Runs() {
		j, ok := t.Job(r.ID.Task.Job)
		if !r.Quarantined || r.Phase != chutepool.RunStarted || !ok {
			continue
		}
		crashes := j.Crashes(r.ID.Task)
		survived := w.AnsweredAt.Sub(r.StartedAt) >= crashes.Probation() // a silent worker may have crashed meanwhile
		if !survived && crashes.NeedsQuarantine() {
			continue
		}
		t.Log(component, "quarantine ends", j.ID, "run", r.ID, "worker", w.ID, "lasted", t.Now.Sub(r.StartedAt), "survived", survived)
		if survived {
			crashes = crashes.WithSurvival(r.ID.Number)
		}
		task, _ := j.Task(r.ID.Task)
		t.PutJob(j.WithTask(r.ID.Task, task.WithQuarantine(false)).WithCrashes(r.ID.Task, crashes))
		r.Quarantined = false
		w = w.WithRun(r)
		t.PutWorker(w)
		t.PlanDue = true
	}
}
