package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecrash"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutemembership"
	"monsoonchute.example/monsoonchute/chuteplanner"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// renewalPollTimeout is how long a worker may hold a renewal open until one of its runs ends.
	renewalPollTimeout = 2 * time.Second
	// mixedRenewalPollTimeout replaces renewalPollTimeout on workers where best-effort tasks may slow down serving tasks.
	mixedRenewalPollTimeout = 800 * time.Millisecond
	// ticksPerCheck is the number of ticks in which every worker is checked once.
	ticksPerCheck = 3
	// maxRenewalAge is the age of the latest renewal that makes the next due despite unrecorded effects of ended runs.
	maxRenewalAge = 1500 * time.Millisecond
	// stopRetryInterval is the delay before a failed stop order, or one without an answer, is repeated.
	stopRetryInterval = 300 * time.Millisecond
	// maxBatchBytes is the largest sum of the sizes of the rows in one write. They grow by a third as text in a request.
	maxBatchBytes = 600_000
)

// Tick starts due occurrences, checks some workers, advances maintenance waves and runs a planning pass if one is due.
func (s State) Tick(t *chuteaction.Transition, environment chuteledger.Environment) State {
	u := s.transition(t, environment)
	if !u.Ready() {
		return u.state()
	}
	u.startDueOccurrences()
	u.ConfirmCrashes()
	u.ticks++
	for i, w := range u.Pool.All() {
		if (i+u.ticks)%ticksPerCheck == 0 {
			u.checkWorker(w)
		}
	}
	u.countPending()
	u.waves = u.waves.Tick(u.Transition)
	u.planner = u.planner.Plan(u.Transition)
	return u.state()
}

// Advance runs a planning pass if something has changed since the latest one.
func (s State) Advance(t *chuteaction.Transition, environment chuteledger.Environment) State {
	u := s.transition(t, environment)
	if u.Ready() && u.PlanDue {
		u.planner = u.planner.Plan(u.Transition)
	}
	return u.state()
}

// startDueOccurrences creates the tasks of the occurrences whose start time has passed.
func (t *transition) startDueOccurrences() {
	unixTime := time.Duration(t.Now.UnixNano())
	for i := t.timed.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		j, ok := t.Live.Get(id)
		if !ok {
			t.timed = t.timed.Delete(id)
			continue
		}
		changed := false
		for k := range j.Occurrences {
			if !j.Begun(k) && j.Spec.Due(k) <= unixTime {
				j = j.WithOccurrenceBegun(k)
				changed = true
			}
		}
		if changed {
			t.PutRecordedJob(j)
			t.PlanDue = true
		}
	}
}

// checkWorker handles an expired lease, drops an unlisted worker without runs, and sends due stop orders and renewals.
func (t *transition) checkWorker(w chutepool.Worker) {
	if !w.Lost && w.RunCount() > 0 && t.leaseExpired(w) {
		t.Count("worker-lost", "lease-over")
		t.Warn(component, "worker is lost: its lease expired without an answer", "", "worker", w.ID, "missed", w.MissedRenewals, "runs", w.RunCount())
		t.MarkLost(w)
		w, _ = t.Pool.Get(w.ID)
	}
	if t.forgettable(w) {
		t.Pool = t.Pool.Without(w.ID)
		t.Speeds = t.Speeds.WithoutWorker(w.ID)
		t.Emit(chuteaction.DisconnectWorker{Worker: w.ID})
		return
	}
	chutemembership.StopBeforeLeave(t.Transition, w)
	w, _ = t.Pool.Get(w.ID)
	chutecrash.EndProbations(t.Transition.Transition, w)
	w, _ = t.Pool.Get(w.ID)
	t.repeatOrders(w)
	w, _ = t.Pool.Get(w.ID)
	t.renewIfDue(w)
}

// repeatOrders sends the worker's start orders that were not sent and its stop orders that are due again.
func (t *transition) repeatOrders(listed chutepool.Worker) {
	for _, run := range listed.Runs() {
		w, r, ok := t.Pool.FindRun(listed.ID, run.ID)
		switch {
		case !ok:
		case r.Phase == chutepool.RunOrdered && r.StartNotSent:
			t.RepeatUnsentStart(w, r)
		case r.Phase == chutepool.RunStopping && !r.AnswerPending && r.StopAnsweredAt.IsZero() && t.Now.Sub(r.PhaseSince) >= stopRetryInterval:
			t.OrderStop(w, r)
		}
	}
}

// forgettable reports whether nothing is left to do for a worker that is no longer listed.
func (t *transition) forgettable(w chutepool.Worker) bool {
	acknowledged := w.AcknowledgedEnd >= w.RecordedEnd || w.MissedRenewals > 0
	return !w.Listed && !w.Renewing && w.RunCount() == 0 && acknowledged && w.HandledEnd == w.RecordedEnd
}

// leaseExpired reports whether nothing can run on the worker any more, since its lease expired before it was reached.
func (t *transition) leaseExpired(w chutepool.Worker) bool {
	return w.MissedRenewals > 0 && t.Now.After(w.LeaseExpiryBound) || !w.Listed && !w.Contacted && t.Now.After(w.LeaseExpiryBound)
}

// renewIfDue renews the worker's lease if anything may run there. A renewal also fetches and acknowledges ended runs,
// and is sent for these alone where nothing runs, as well as to learn whether a worker that did not answer is back.
func (t *transition) renewIfDue(w chutepool.Worker) {
	if w.Address == "" || t.Now.Before(w.RenewAfter) || w.Renewing && !w.ReportDue {
		return
	}
	working := w.NeedsLease()
	unrecorded := w.HandledEnd > w.RecordedEnd
	switch {
	case !w.Contacted && (w.Listed || w.RunCount() > 0):
		t.renew(w, 0)
	case w.ReportDue:
		t.renew(w, 0)
	case unrecorded && t.Now.Sub(w.RenewedAt) < maxRenewalAge:
	case working && (unrecorded || w.MissedRenewals > 0):
		t.renew(w, 0)
	case working && chuteplanner.SharedWithBestEffort(t.Transition, w):
		t.renew(w, mixedRenewalPollTimeout)
	case working:
		t.renew(w, renewalPollTimeout)
	case w.AcknowledgedEnd < w.RecordedEnd:
		t.renew(w, 0)
	case w.MissedRenewals > 0 && w.Listed:
		t.renew(w, 0)
	}
}

func (t *transition) renew(w chutepool.Worker, pollTimeout time.Duration) {
	leaseEnd := time.Duration(0)
	if w.Contacted {
		w = t.ExtendLease(w)
		leaseEnd = w.LeaseEnd
	}
	w.Renewing = true
	w.ReportDue = false
	w.RenewedAt = t.Now
	acknowledged := dueAcknowledgement(w)
	w.AcknowledgedEnd = max(w.AcknowledgedEnd, acknowledged)
	t.PutWorker(w)
	t.Emit(chuteaction.RenewLease{WorkerTarget: t.Target(w), LeaseEnd: leaseEnd, AcknowledgedEnd: acknowledged, PollTimeout: pollTimeout})
}

// dueAcknowledgement returns the number up to which the worker may delete its ended runs, or 0 if it has been told
// already. A worker that does not answer may have restarted and counts its ends anew, so that it is told nothing.
func dueAcknowledgement(w chutepool.Worker) int64 {
	if !w.Contacted || w.MissedRenewals > 0 || w.AcknowledgedEnd >= w.RecordedEnd {
		return 0
	}
	return w.RecordedEnd
}

// Flush returns up to limit rows to write, and no more than the store takes in one write, and marks the write as in
// flight. It returns no rows while one is in flight or the recorded progress has not been read.
func (s State) Flush(limit int) (State, []chuteaction.Row) {
	if s.batch.inFlight || !s.progressMerged() {
		return s, nil
	}
	if s.runner.Dirty.Len() == 0 {
		return s.withEndsRecorded(), nil
	}
	b := batch{inFlight: true}
	var rows []chuteaction.Row
	size := 0
	for i := s.runner.Dirty.Iterator(); !i.Done() && len(rows) < limit; {
		id, _, _ := i.Next()
		j, ok := s.runner.Job(id)
		if size += j.SizeBound(); size > maxBatchBytes && len(rows) > 0 {
			break
		}
		s.runner.Dirty = s.runner.Dirty.Delete(id)
		if !ok {
			continue
		}
		b.jobs = append(b.jobs, id)
		rows = append(rows, chuteaction.Row{RowKey: chuteaction.ProgressKey(id), Value: chuteaction.ProgressRow{Job: id, Progress: j.WithoutFinishedDetails()}})
		s = s.withRunsRecording(j)
	}
	if s.runner.Dirty.Len() == 0 {
		b.acks = s.unrecordedEnds()
	}
	s.batch = b
	return s, rows
}

// unrecordedEnds returns each worker's latest handled ended run, if its effects are not known to be recorded.
func (s State) unrecordedEnds() []ack {
	var acks []ack
	for i := s.runner.Unrecorded.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		if w, ok := s.runner.Pool.Get(id); ok && w.HandledEnd > w.RecordedEnd {
			acks = append(acks, ack{worker: id, incarnation: w.Incarnation, number: w.HandledEnd})
		}
	}
	return acks
}

// withEndsRecorded marks all handled ends as recorded. It is for ends that changed no job and leave nothing to write.
func (s State) withEndsRecorded() State {
	for _, a := range s.unrecordedEnds() {
		w, _ := s.runner.Pool.Get(a.worker)
		w.RecordedEnd = a.number
		s.runner.Pool = s.runner.Pool.With(w)
		s.runner.Unrecorded = s.runner.Unrecorded.Delete(a.worker)
	}
	return s
}

// withRunsRecording returns the state with the planned runs of the job marked as being written.
func (s State) withRunsRecording(j chutetask.Job) State {
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		if task.Phase != chutetask.TaskActive {
			return
		}
		w, r, ok := s.runner.Pool.FindRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run})
		if ok && r.Phase == chutepool.RunPlanned {
			r.Phase = chutepool.RunRecording
			s.runner.Pool = s.runner.Pool.With(w.WithRun(r))
		}
	})
	return s
}

// HandleCommit handles the write's success: it starts the runs recorded, and workers may delete the ends recorded.
func (s State) HandleCommit(t *chuteaction.Transition, environment chuteledger.Environment) State {
	u := s.transition(t, environment)
	b := u.batch
	u.batch = batch{}
	for _, a := range b.acks {
		if w, ok := u.Pool.Get(a.worker); ok && w.Incarnation == a.incarnation && w.HandledEnd >= a.number {
			w.RecordedEnd = max(w.RecordedEnd, a.number)
			u.PutWorker(w)
			if w.RecordedEnd == w.HandledEnd {
				u.Unrecorded = u.Unrecorded.Delete(w.ID)
			}
			u.renewIfDue(w)
		}
	}
	for _, id := range b.jobs {
		if j, ok := u.Job(id); ok {
			u.startRecordedRuns(j)
			if j.Phase.Ended() {
				u.planner = u.planner.WithoutJob(j)
			}
		}
	}
	return u.state()
}

// startRecordedRuns sends the start orders of a job's recorded runs whose workers may still start them. A gang starts
// whole or not at all.
func (t *transition) startRecordedRuns(j chutetask.Job) {
	dropped := make(map[chutegraph.TaskID]bool)
	broken := make(map[chutegraph.StepID]bool) // gangs of which a member is dropped
	var recorded []chutepool.Run
	var workers []chutetask.WorkerID
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		w, r, ok := t.Pool.FindRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run})
		if !ok || r.Phase != chutepool.RunRecording {
			return
		}
		r = r.WithPhase(chutepool.RunOrdered, t.Now)
		t.PutWorker(w.WithRun(r))
		recorded = append(recorded, r)
		workers = append(workers, w.ID)
		completed := task.Phase == chutetask.TaskDone // an earlier run has ended as done during the write
		dropped[id] = j.Phase.Ended() || completed || !t.mayStart(w.ID)
		broken[id.StepID] = broken[id.StepID] || dropped[id] && j.Step(id.StepID).Gang
	})
	for i, r := range recorded {
		if dropped[r.ID.Task] || broken[r.ID.Task.StepID] {
			t.Count("start-dropped", "no-longer-right")
			t.ReleaseRun(workers[i], r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndStopped})
			continue
		}
		if w, current, ok := t.Pool.FindRun(workers[i], r.ID); ok && current.Phase == chutepool.RunOrdered {
			t.OrderStart(w, current)
		}
	}
}

// mayStart reports whether the worker has answered this scheduler and may get new work.
func (t *transition) mayStart(id chutetask.WorkerID) bool {
	w, ok := t.Pool.Get(id)
	return ok && w.Contacted && t.MayOrderStart(w)
}
