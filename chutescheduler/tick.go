package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplanner"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// renewWait is how long a worker may keep a renewal open for an end.
	renewWait = 2 * time.Second
	// mixedWait is the same for a worker on which filling tasks may disturb serving ones.
	mixedWait = 800 * time.Millisecond
	// visitShare is the number of ticks in which every worker is visited once.
	visitShare = 3
	// renewLatest is the age of the latest renewal at which the next is sent although ends are still to be recorded.
	renewLatest = 1500 * time.Millisecond
	// stopAgainAfter is the wait before an unanswered stop order is repeated.
	stopAgainAfter = 300 * time.Millisecond
)

// Tick lets time pass: due occurrences, leases, stops and the plan.
func (s State) Tick(t *chuteaction.Transition, environment chuterunner.Environment) State {
	u := s.turn(t, environment)
	if !u.Ready() {
		return u.state()
	}
	u.beginDue()
	u.visits++
	for i, w := range u.Pool.All() {
		if (i+u.visits)%visitShare == 0 {
			u.visit(w)
		}
	}
	u.countPending()
	u.driveWaves()
	u.planner = u.planner.Plan(u.Transition)
	return u.state()
}

// Advance plans if something has changed and renews the leases that are due.
func (s State) Advance(t *chuteaction.Transition, environment chuterunner.Environment) State {
	u := s.turn(t, environment)
	if u.Ready() && u.PlanDue {
		u.planner = u.planner.Plan(u.Transition)
	}
	return u.state()
}

// beginDue gives tasks to the occurrences whose time has come.
func (t *turn) beginDue() {
	wall := time.Duration(t.Now.UnixNano())
	for i := t.timed.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		j, ok := t.Live.Get(id)
		if !ok {
			t.timed = t.timed.Delete(id)
			continue
		}
		changed := false
		for k := range j.Occurrences {
			if !j.Begun(k) && j.Spec.Due(k) <= wall {
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

// visit does what is due for one worker.
func (t *turn) visit(w chutepool.Worker) {
	if !w.Lost && w.RunCount() > 0 && t.leaseOver(w) {
		t.Count("worker-lost", "lease-over")
		t.Warn(part, "worker is lost, its lease is over", "", "worker", w.ID, "missed", w.MissedRenewals, "runs", w.RunCount())
		t.MarkLost(w)
		w, _ = t.Pool.Get(w.ID)
	}
	if !w.Listed && !w.Renewing && w.RunCount() == 0 && w.AcknowledgedEnd >= w.RecordedEnd && w.HandledEnd == w.RecordedEnd {
		t.Pool = t.Pool.Without(w.ID)
		t.Speeds = t.Speeds.WithoutWorker(w.ID)
		t.Emit(chuteaction.DisconnectWorker{Worker: w.ID})
		return
	}
	t.StopBeforeLeave(w)
	w, _ = t.Pool.Get(w.ID)
	for _, r := range w.Runs() {
		if r.Phase == chutepool.RunStopping && !r.AnswerPending && r.StopAnsweredAt.IsZero() && t.Now.Sub(r.PhaseSince) >= stopAgainAfter {
			w, _ = t.Pool.Get(w.ID)
			t.OrderStop(w, r)
		}
	}
	w, _ = t.Pool.Get(w.ID)
	t.renewIfDue(w)
}

// leaseOver reports whether nothing can run on the worker any more, since it was not reached in time.
func (t *turn) leaseOver(w chutepool.Worker) bool {
	return w.MissedRenewals > 0 && t.Now.After(w.LeaseExpiryBound) || !w.Listed && !w.Contacted && t.Now.After(w.LeaseExpiryBound)
}

// renewIfDue renews the worker's lease where something runs, and fetches or acknowledges ends.
func (t *turn) renewIfDue(w chutepool.Worker) {
	if w.Address == "" || t.Now.Before(w.RenewAfter) || w.Renewing && !w.ReportDue {
		return
	}
	works := w.NeedsLease()
	unrecorded := w.HandledEnd > w.RecordedEnd
	switch {
	case !w.Contacted && (w.Listed || w.RunCount() > 0):
		t.renew(w, 0)
	case w.ReportDue:
		t.renew(w, 0)
	case unrecorded && t.Now.Sub(w.RenewedAt) < renewLatest:
	case works && unrecorded:
		t.renew(w, 0)
	case works && chuteplanner.SharedWithBestEffort(t.Transition, w):
		t.renew(w, mixedWait)
	case works:
		t.renew(w, renewWait)
	case w.AcknowledgedEnd < w.RecordedEnd:
		t.renew(w, 0)
	}
}

func (t *turn) renew(w chutepool.Worker, wait time.Duration) {
	end := time.Duration(0)
	if w.Contacted {
		w = t.ExtendLease(w)
		end = w.LeaseEnd
	}
	w.Renewing = true
	w.ReportDue = false
	w.RenewedAt = t.Now
	w.AcknowledgedEnd = w.RecordedEnd
	t.PutWorker(w)
	t.Emit(chuteaction.RenewLease{WorkerTarget: t.Target(w), LeaseEnd: end, AcknowledgedEnd: w.RecordedEnd, PollTimeout: wait})
}

// Flush returns the rows that must be recorded now, at most limit, and the state with their write on the way.
func (s State) Flush(limit int) (State, []chuteaction.Row) {
	if s.batch.active {
		return s, nil
	}
	if s.runner.Dirty.Len() == 0 {
		return s.withNothingUnrecorded(), nil
	}
	b := batch{active: true}
	var rows []chuteaction.Row
	for i := s.runner.Dirty.Iterator(); !i.Done() && len(rows) < limit; {
		id, _, _ := i.Next()
		j, ok := s.runner.Job(id)
		s.runner.Dirty = s.runner.Dirty.Delete(id)
		if !ok {
			continue
		}
		b.jobs = append(b.jobs, id)
		rows = append(rows, chuteaction.Row{RowKey: chuteaction.ProgressKey(id), Value: chuteaction.ProgressRow{Job: id, Progress: j.Progress}})
		s = s.withWriting(j)
	}
	if s.runner.Dirty.Len() == 0 {
		b.acks = s.unrecorded()
	}
	s.batch = b
	return s, rows
}

// unrecorded returns the ends that were handled and are not known to be recorded.
func (s State) unrecorded() []ack {
	var acks []ack
	for i := s.runner.Unrecorded.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		if w, ok := s.runner.Pool.Get(id); ok && w.HandledEnd > w.RecordedEnd {
			acks = append(acks, ack{worker: id, number: w.HandledEnd})
		}
	}
	return acks
}

// withNothingUnrecorded returns the state after ends that changed no job: there is nothing to record for them.
func (s State) withNothingUnrecorded() State {
	for _, a := range s.unrecorded() {
		w, _ := s.runner.Pool.Get(a.worker)
		w.RecordedEnd = a.number
		s.runner.Pool = s.runner.Pool.With(w)
		s.runner.Unrecorded = s.runner.Unrecorded.Delete(a.worker)
	}
	return s
}

// withWriting marks the planned runs of the job as being recorded.
func (s State) withWriting(j chutetask.Job) State {
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

// Committed goes on with what the latest write has recorded: starts may leave, ends may be forgotten.
func (s State) HandleCommit(t *chuteaction.Transition, environment chuterunner.Environment) State {
	u := s.turn(t, environment)
	b := u.batch
	u.batch = batch{}
	for _, a := range b.acks {
		if w, ok := u.Pool.Get(a.worker); ok && w.HandledEnd >= a.number {
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
			u.launch(j)
			if j.Phase.Ended() {
				u.planner = u.planner.WithoutJob(j)
			}
		}
	}
	return u.state()
}

// launch orders the recorded runs of a job to start, where that is still right. A gang starts whole or not at all.
func (t *turn) launch(j chutetask.Job) {
	wrong := make(map[chutegraph.StepID]bool)
	var ready []chutepool.Run
	var workers []chutetask.WorkerID
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		w, r, ok := t.Pool.FindRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run})
		if !ok || r.Phase != chutepool.RunRecording {
			return
		}
		r = r.WithPhase(chutepool.RunOrdered, t.Now)
		t.PutWorker(w.WithRun(r))
		ready = append(ready, r)
		workers = append(workers, w.ID)
		if j.Phase.Ended() || !w.Contacted || !t.MayStartOn(w) {
			wrong[id.StepID] = true
		}
	})
	for i, r := range ready {
		if wrong[r.ID.Task.StepID] && (j.Phase.Ended() || j.Step(r.ID.Task.StepID).Gang || !t.startable(workers[i])) {
			t.Count("start-dropped", "no-longer-right")
			t.ReleaseRun(workers[i], r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndStopped})
			continue
		}
		if w, current, ok := t.Pool.FindRun(workers[i], r.ID); ok && current.Phase == chutepool.RunOrdered {
			t.OrderStart(w, current)
		}
	}
}

func (t *turn) startable(id chutetask.WorkerID) bool {
	w, ok := t.Pool.Get(id)
	return ok && w.Contacted && t.MayStartOn(w)
}
