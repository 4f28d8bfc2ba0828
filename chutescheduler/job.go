package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Read takes the rows of a read after the takeover.
func (s State) HandleRowsRead(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.RowsRead) State {
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
	return u.state()
}

// hostsRead looks whether the process of the former scheduler has ended: then nobody renews leases in its name.
func (s State) hostsRead(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.RowsRead) State {
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
	return u.state()
}

// Submissions takes news of the jobs that clients handed in or cancelled.
func (s State) HandleSubmissions(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.TableChanged) State {
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
	if e.Complete && !u.hasJobs {
		u.hasJobs = true
		u.mergeProgress()
	}
	return u.state()
}

func (t *turn) submitted(submission chutetask.Submission, version chuteaction.RowVersion) {
	if _, known := t.Job(submission.ID); known {
		return
	}
	j := chutetask.New(submission, int64(version), t.Now)
	if submission.Spec.HasStartTimes() {
		t.timed = t.timed.Set(j.ID, true)
	} else {
		j = j.WithOccurrenceBegun(0)
	}
	t.PutRecordedJob(j)
	t.PlanDue = true
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
		t.Live = t.Live.Delete(j.ID)
		t.PutRecordedJob(j)
		if cancelled && row.Phase != j.Phase {
			t.PutJob(j)
		}
		runs += t.inheritRuns(j)
	}
	t.progress = nil
	t.Log(part, "jobs read", "", "live", t.Live.Len(), "ended", t.Ended.Len(), "runs", runs,
		"former", t.former.Row.Host, "former-ended", t.formerEnd)
	t.Emit(chuteaction.WatchTable{Table: chuteaction.TableWorkers, MinInterval: workersPause, PollTimeout: followWait})
}

// inheritRuns gives each recorded run its room: it may be at work, or its start may still be on the way.
func (t *turn) inheritRuns(j chutetask.Job) int {
	count := 0
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		if task.Phase != chutetask.TaskActive {
			return
		}
		count++
		w, ok := t.Pool.Get(task.Worker)
		if !ok {
			w = chutepool.NewWorker(chutepool.Listing{ID: task.Worker}, t.Now).WithUnlisted()
			w.LeaseExpiryBound = t.inheritedLease()
		}
		run := chutepool.Run{
			ID: chutegraph.RunID{Task: id, Number: task.Run}, Reserved: j.Step(id.StepID).Reserved(),
			Priority: j.Priority, StartUnanswered: true, Inherited: true, Checkpoint: task.Checkpoint,
		}.WithPhase(chutepool.RunOrdered, t.Now)
		t.PutWorker(w.WithRun(run))
	})
	return count
}

// inheritedLease returns when the lease of a worker is over that this scheduler cannot reach. A former scheduler that
// may still live may go on renewing it for a while after its latest write.
func (t *turn) inheritedLease() time.Time {
	last := t.LeaderSince
	if renewed := t.former.ObservedAt.Add(t.Bounds.UnconfirmedLimit); !t.formerEnd && renewed.After(last) {
		last = renewed
	}
	return last.Add(t.LongestLease())
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
	t.PutJob(j)
	t.StopJob(j, "cancelled")
}
