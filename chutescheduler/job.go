package chutescheduler

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteprogress"
	"monsoonchute.example/monsoonchute/chutetakeover"
	"monsoonchute.example/monsoonchute/chutetask"
)

// HandleRowsRead handles the end of a read that the scheduler began after its takeover. A failed read is repeated.
func (s State) HandleRowsRead(t *chuteaction.Transition, environment chuteledger.Environment, e chuteaction.RowsRead) State {
	if e.Token == s.hostsToken {
		return s.handleHostsRead(t, environment, e)
	}
	if e.Outcome != chuteaction.StoreDone {
		t.Count("store-retry", "progress-read")
		return s.readProgress(t)
	}
	u := s.transition(t, environment)
	u.hasProgress = true
	u.progress = chuteprogress.Join(e.Rows)
	u.mergeProgress()
	return u.state()
}

// handleHostsRead handles the rows of the entry hosts as read after the takeover.
func (s State) handleHostsRead(t *chuteaction.Transition, environment chuteledger.Environment, e chuteaction.RowsRead) State {
	if e.Outcome != chuteaction.StoreDone {
		t.Count("store-retry", "hosts-read")
		return s.readHosts(t)
	}
	u := s.transition(t, environment)
	u.hasHosts = true
	u.predecessor = u.predecessor.WithHosts(u.Transition, e.Rows)
	u.mergeProgress()
	return u.state()
}

// HandleHosts handles changed rows of the entry hosts.
func (s State) HandleHosts(t *chuteaction.Transition, environment chuteledger.Environment, rows []chuteaction.Row) State {
	u := s.transition(t, environment)
	u.predecessor = u.predecessor.WithHosts(u.Transition, rows)
	return u.state()
}

// HandleForwarded handles rows of submitted and cancelled jobs that another host has recorded.
func (s State) HandleForwarded(t *chuteaction.Transition, environment chuteledger.Environment, rows []chuteaction.Row) State {
	u := s.transition(t, environment)
	u.applyJobRows(rows)
	return u.state()
}

// HandleSubmissions handles a change of the table of submitted and cancelled jobs. It ignores events of earlier watches.
func (s State) HandleSubmissions(t *chuteaction.Transition, environment chuteledger.Environment, e chuteaction.TableChanged) State {
	if e.Watch != s.jobsWatch {
		t.Count("watch-event-dropped", e.Table.String())
		return s
	}
	u := s.transition(t, environment)
	u.applyJobRows(e.Rows)
	if e.Complete && !u.hasJobs {
		u.hasJobs = true
		u.mergeProgress()
	}
	return u.state()
}

func (t *transition) applyJobRows(rows []chuteaction.Row) {
	for _, r := range rows {
		if row, ok := r.Value.(chuteaction.SubmissionRow); ok {
			t.addSubmission(row.Submission, r.Version)
		}
	}
	for _, r := range rows {
		if row, ok := r.Value.(chuteaction.CancelRow); ok {
			t.cancelJob(row.Job)
		}
	}
}

// addSubmission adds a submitted job unless it is known. Progress that was recorded for it and read before applies.
func (t *transition) addSubmission(submission chutetask.Submission, version chuteaction.RowVersion) {
	if _, known := t.Job(submission.ID); known {
		return
	}
	if !submission.ID.Valid() || !submission.Spec.Consistent() {
		t.Count("submission-refused", "malformed")
		t.Warn(component, "submission row is not consistent; its job does not run", submission.ID, "version", version)
		return
	}
	j := chutetask.New(submission, int64(version), t.Now)
	if submission.Spec.HasStartTimes() {
		t.timed = t.timed.Set(j.ID, true)
	} else {
		j = j.WithOccurrenceBegun(0)
	}
	t.PlanDue = true
	_, cancelled := t.cancelledEarly.Get(j.ID)
	if cancelled {
		t.cancelledEarly = t.cancelledEarly.Delete(j.ID)
		j = j.WithCancelled()
	}
	if r, recorded := t.unmerged.Get(j.ID); recorded {
		t.mergeRow(j, r)
		return
	}
	if cancelled {
		t.Log(component, "job received after its cancellation", submission.ID, "queue", submission.Queue, "version", version)
		t.PutJob(j)
		return
	}
	t.PutRecordedJob(j)
	if t.Ready() {
		t.Log(component, "job received", submission.ID, "queue", submission.Queue, "priority", submission.Priority, "version", version)
	}
}

// mergeProgress applies the recorded progress to the submitted jobs once submissions, progress and hosts have been
// read. It then watches the table of workers.
func (t *transition) mergeProgress() {
	if !t.progressMerged() {
		return
	}
	runs := 0
	for _, r := range t.progress {
		j, known := t.Job(chutegraph.JobID(r.Key))
		if !known {
			t.Count("progress-unmerged", "unknown-job")
			t.Warn(component, "progress row names an unknown job", chutegraph.JobID(r.Key), "version", r.Version)
			t.unmerged = t.unmerged.Set(chutegraph.JobID(r.Key), r)
			continue
		}
		runs += t.mergeRow(j, r)
	}
	t.progress = nil
	t.Log(component, "jobs and their progress read", "", "live", t.Live.Len(), "ended", t.Ended.Len(), "runs", runs,
		"former", t.predecessor.Host(), "former-ended", t.predecessor.Ended())
	t.workersWatch = t.NewToken()
	t.Emit(chuteaction.WatchTable{
		Watch: t.workersWatch, Table: chuteaction.TableWorkers, MinInterval: workersPollInterval, PollTimeout: tablePollTimeout,
		ListAfter: listWorkersAfter,
	})
}

// mergeRow applies a row of recorded progress to its job, and counts the runs that it inherits. A job whose row cannot be
// decoded or does not fit it is left out: it may have completed, so that nothing of it may start.
func (t *transition) mergeRow(j chutetask.Job, r chuteaction.Row) int {
	row, ok := r.Value.(chuteaction.ProgressRow)
	if !ok || !row.Fits(j.Spec) {
		t.Count("progress-unmerged", "malformed")
		t.Warn(component, "progress row cannot be decoded; its job does not go on", j.ID, "version", r.Version)
		t.unmerged = t.unmerged.Set(j.ID, r)
		t.Live = t.Live.Delete(j.ID)
		return 0
	}
	t.unmerged = t.unmerged.Delete(j.ID)
	t.recording = t.recording.WithParts(j.ID, row.Parts)
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
	chutetakeover.InheritCrashes(t.Transition, j)
	return t.predecessor.InheritRuns(t.Transition, j)
}

// cancelJob ends a job whose cancellation the client recorded, and stops its runs. The cancellation may have overtaken its
// job on the way here.
func (t *transition) cancelJob(id chutegraph.JobID) {
	j, ok := t.Job(id)
	if !ok {
		t.cancelledEarly = t.cancelledEarly.Set(id, true)
		return
	}
	if j.Cancelled || j.Phase.Ended() {
		return
	}
	t.Log(component, "job cancelled", id, "phase", j.Phase)
	j = j.WithCancelled()
	t.PutJob(j)
	t.StopJob(j, "cancelled")
}
