package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterun"
)

// Read takes the rows of a read after the takeover.
func (s State) Read(t *chuteaction.Turn, environment Environment, e chuteaction.RowsRead) State {
	if e.Token == s.hostToken {
		return s.hostsRead(t, environment, e)
	}
	if e.Outcome != chuteaction.StoreDone {
		t.Count("store-retry", "progress-read")
		return s.readProgress(t)
	}
	u := s.turn(t, environment)
	u.hasRows = true
	u.progress = e.Rows
	u.mergeProgress()
	return u.State
}

// hostsRead looks whether the process of the former scheduler has ended: then nobody renews leases in its name.
func (s State) hostsRead(t *chuteaction.Turn, environment Environment, e chuteaction.RowsRead) State {
	if e.Outcome != chuteaction.StoreDone {
		t.Count("store-retry", "hosts-read")
		return s.readHosts(t)
	}
	u := s.turn(t, environment)
	u.hasHosts = true
	for _, r := range e.Rows {
		row, ok := r.Value.(chuteaction.HostRow)
		if ok && row.Host == u.former.Row.Host && row.Process != u.former.Row.Process && r.Version > u.former.Version {
			u.formerEnd = true
		}
	}
	u.mergeProgress()
	return u.State
}

// Submissions takes news of the jobs that clients handed in or cancelled.
func (s State) Submissions(t *chuteaction.Turn, environment Environment, e chuteaction.TableChanged) State {
	u := s.turn(t, environment)
	for _, r := range e.Rows {
		if row, ok := r.Value.(chuteaction.SubmissionRow); ok {
			u.submitted(row.Submission, r.Version)
		}
	}
	for _, r := range e.Rows {
		if row, ok := r.Value.(chuteaction.CancelRow); ok {
			u.cancelled(row.Job)
		}
	}
	if e.Whole && !u.hasJobs {
		u.hasJobs = true
		u.mergeProgress()
	}
	return u.State
}

func (t *turn) submitted(submission chuterun.Submission, version chuteaction.RowVersion) {
	if _, known := t.Job(submission.ID); known {
		return
	}
	t.keepJob(chuterun.New(submission, int64(version), t.Now))
	t.planDue = true
	if t.Ready() {
		t.Log(part, "job learned of", submission.ID, "queue", submission.Queue, "priority", submission.Priority, "version", version)
	}
}

// mergeProgress joins what was submitted with what was recorded, once both have been read, and asks for the workers.
func (t *turn) mergeProgress() {
	if !t.hasRows || !t.hasJobs || !t.hasHosts {
		return
	}
	runs := 0
	for _, r := range t.progress {
		row, ok := r.Value.(chuteaction.ProgressRow)
		if !ok {
			continue
		}
		j, known := t.Job(row.Job)
		if !known {
			t.Warn(part, "progress of an unknown job", row.Job, "version", r.Version)
			continue
		}
		cancelled := j.Cancelled
		j = j.WithProgress(row.Progress)
		if cancelled && !j.Phase.Ended() {
			j = j.WithCancelled()
		}
		t.live = t.live.Delete(j.ID)
		t.keepJob(j)
		if cancelled && row.Phase != j.Phase {
			t.putJob(j)
		}
		runs += t.inheritRuns(j)
	}
	t.progress = nil
	t.Log(part, "jobs read", "", "live", t.live.Len(), "ended", t.ended.Len(), "runs", runs,
		"former", t.former.Row.Host, "former-ended", t.formerEnd)
	t.Emit(chuteaction.FollowTable{Table: chuteaction.TableWorkers, Pause: workersPause, Wait: followWait})
}

// inheritRuns gives each recorded run its room: it may be at work, or its start may still be on the way.
func (t *turn) inheritRuns(j chuterun.Job) int {
	count := 0
	j.ForEachTask(func(id chutegraph.TaskID, task chuterun.Task) {
		if task.Phase != chuterun.TaskActive {
			return
		}
		count++
		w, ok := t.pool.Get(task.Worker)
		if !ok {
			w = chutepool.NewWorker(chutepool.Listing{ID: task.Worker}, t.Now).WithUnlisted()
			w.LeaseUntil = t.inheritedLease()
		}
		run := chutepool.Run{
			ID: chutegraph.RunID{Task: id, Number: task.Run}, Reserved: j.Step(id.StepID).Reserved(),
			Priority: j.Priority, Unanswered: true, Inherited: true, Checkpoint: task.Checkpoint,
		}.WithPhase(chutepool.RunOrdered, t.Now)
		t.putWorker(w.WithRun(run))
	})
	return count
}

// inheritedLease returns when the lease of a worker is over that this scheduler cannot reach. A former scheduler that
// may still live may go on renewing it for a while.
func (t *turn) inheritedLease() time.Time {
	until := t.takenAt.Add(t.longestLease())
	if !t.formerEnd {
		until = until.Add(t.bounds.UnprovedLimit)
	}
	return until
}

// cancelled ends a job whose cancellation is recorded.
func (t *turn) cancelled(id chutegraph.JobID) {
	j, ok := t.Job(id)
	if !ok || j.Cancelled {
		return
	}
	if j.Phase.Ended() {
		return
	}
	t.Log(part, "job cancelled", id, "phase", j.Phase)
	j = j.WithCancelled()
	t.putJob(j)
	t.stopJob(j, "cancelled")
}

// stopJob stops all runs of a job that has ended.
func (t *turn) stopJob(j chuterun.Job, reason string) {
	j.ForEachTask(func(id chutegraph.TaskID, task chuterun.Task) {
		if task.Phase == chuterun.TaskActive {
			t.stopRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run}, reason)
		}
	})
}

// taskDone enters the good end of a task; in a gang it stands for all members.
func (t *turn) taskDone(j chuterun.Job, id chutegraph.TaskID, task chuterun.Task) {
	if j.Step(id.StepID).LongRunning { // runs until its job is cancelled, however it ends
		t.putJob(j.WithTask(id, task.WithPhase(chuterun.TaskWaiting)))
		return
	}
	if j.Step(id.StepID).Gang {
		j = j.WithStepDone(id.StepID)
		t.speeds = t.speeds.WithoutStep(id.StepID)
	} else {
		j = j.WithTask(id, task.WithPhase(chuterun.TaskDone))
	}
	j = j.WithFinished(id.Occurrence)
	if j.Phase == chuterun.PhaseCompleted {
		took := t.Now.Sub(j.Seen)
		t.Log(part, "job completed", j.ID, "queue", j.Queue, "took", took)
		t.Emit(chuteaction.Observe{Histogram: "completion", Kind: j.Queue, Took: took})
	}
	t.putJob(j)
}

// taskEnded enters any other end of a task: it waits for its next run, or its job has failed.
func (t *turn) taskEnded(j chuterun.Job, id chutegraph.TaskID, task chuterun.Task, end chuterun.RunEnd) {
	step := j.Step(id.StepID)
	task = task.WithPhase(chuterun.TaskWaiting).WithCheckpoint(end.Checkpoint)
	if end.Kind == chuterun.EndFailed {
		task = task.WithFailure()
	}
	j = j.WithTask(id, task)
	if step.Gang {
		j = j.WithStepCheckpoint(id.StepID, end.Checkpoint)
	}
	attempts := t.attempts(j)
	if end.Kind == chuterun.EndFailed && !step.LongRunning && stepFailures(j, id, step) >= attempts {
		j = j.WithPhase(chuterun.PhaseFailed)
		t.Log(part, "job failed", j.ID, "queue", j.Queue, "task", id, "attempts", attempts, "took", t.Now.Sub(j.Seen))
		t.putJob(j)
		t.stopJob(j, "job-failed")
		return
	}
	t.putJob(j)
	if step.Gang {
		t.breakGang(j, id)
	}
}

// stepFailures returns how often the task has failed; for a gang the failures of all members count.
func stepFailures(j chuterun.Job, id chutegraph.TaskID, step chutegraph.Step) int {
	if !step.Gang {
		task, _ := j.Task(id)
		return task.Failures
	}
	failures := 0
	for _, task := range j.Tasks(id.StepID) {
		failures += task.Failures
	}
	return failures
}

// attempts returns how many runs of a task may fail, as the configuration in force says.
func (t *turn) attempts(j chuterun.Job) int {
	if q, ok := t.environment.Catalog.Queue(j.Queue); ok && q.Attempts > 0 {
		return q.Attempts
	}
	return max(1, j.Attempts)
}

// breakGang stops the other members of a gang that has lost one.
func (t *turn) breakGang(j chuterun.Job, id chutegraph.TaskID) {
	for i, task := range j.Tasks(id.StepID) {
		if i != id.Index && task.Phase == chuterun.TaskActive {
			member := chutegraph.TaskID{StepID: id.StepID, Index: i}
			t.stopRun(task.Worker, chutegraph.RunID{Task: member, Number: task.Run}, "gang-broken")
		}
	}
}
