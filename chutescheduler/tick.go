package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterun"
)

const (
	// renewWait is how long a worker may keep a renewal open for an end.
	renewWait = 2 * time.Second
	// mixedWait is the same for a worker on which filling tasks may disturb serving ones.
	mixedWait = 800 * time.Millisecond
	// renewLatest is the age of the latest renewal at which the next is sent although ends are still to be recorded.
	renewLatest = 1500 * time.Millisecond
	// stopAgainAfter is the wait before an unanswered stop order is repeated.
	stopAgainAfter = 300 * time.Millisecond
	// planInterval is the longest time between two planning passes.
	planInterval = 500 * time.Millisecond
)

// Tick lets time pass: due occurrences, leases, stops and the plan.
func (s State) Tick(t *chuteaction.Turn, environment Environment) State {
	u := s.turn(t, environment)
	if !u.Ready() {
		return u.State
	}
	u.beginDue()
	for _, w := range u.pool.All() {
		u.visit(w)
	}
	u.driveWaves()
	u.plan()
	return u.State
}

// Advance plans if something has changed and renews the leases that are due.
func (s State) Advance(t *chuteaction.Turn, environment Environment) State {
	u := s.turn(t, environment)
	if u.Ready() && u.planDue {
		u.plan()
	}
	return u.State
}

// beginDue gives tasks to the occurrences whose time has come.
func (t *turn) beginDue() {
	wall := time.Duration(t.Now.UnixNano())
	for i := t.live.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		changed := false
		for k := range j.Occurrences {
			if !j.Begun(k) && j.Spec.Due(k) <= wall {
				j = j.WithOccurrence(k)
				changed = true
			}
		}
		if changed {
			t.keepJob(j)
			t.planDue = true
		}
	}
}

// visit does what is due for one worker.
func (t *turn) visit(w chutepool.Worker) {
	if !w.Lost && w.RunCount() > 0 && t.leaseOver(w) {
		t.Count("worker-lost", "lease-over")
		t.Warn(part, "worker is lost, its lease is over", "", "worker", w.ID, "missed", w.Misses, "runs", w.RunCount())
		t.loseWorker(w)
		w, _ = t.pool.Get(w.ID)
	}
	if !w.Listed && !w.Holding && w.RunCount() == 0 && w.Told >= w.Durable && w.Handled == w.Durable {
		t.pool = t.pool.Without(w.ID)
		t.speeds = t.speeds.WithoutWorker(w.ID)
		t.Emit(chuteaction.ForgetWorker{Worker: w.ID})
		return
	}
	for _, r := range w.Runs() {
		if r.Phase == chutepool.RunStopping && !r.Outstanding && r.StoppedAt.IsZero() && t.Now.Sub(r.Since) >= stopAgainAfter {
			w, _ = t.pool.Get(w.ID)
			t.orderStop(w, r)
		}
	}
	w, _ = t.pool.Get(w.ID)
	t.renewIfDue(w)
}

// leaseOver reports whether nothing can run on the worker any more, since it was not reached in time.
func (t *turn) leaseOver(w chutepool.Worker) bool {
	return w.Misses > 0 && t.Now.After(w.LeaseUntil) || !w.Listed && !w.Greeted && t.Now.After(w.LeaseUntil)
}

// renewIfDue renews the worker's lease where something runs, and fetches or acknowledges ends.
func (t *turn) renewIfDue(w chutepool.Worker) {
	if w.Address == "" || t.Now.Before(w.HoldAfter) || w.Holding && !w.LookAgain {
		return
	}
	works := w.Working()
	unrecorded := w.Handled > w.Durable
	switch {
	case !w.Greeted && (w.Listed || w.RunCount() > 0):
		t.renew(w, 0)
	case w.LookAgain:
		t.renew(w, 0)
	case unrecorded && t.Now.Sub(w.HeldAt) < renewLatest:
	case works && unrecorded:
		t.renew(w, 0)
	case works && t.mixed(w):
		t.renew(w, mixedWait)
	case works:
		t.renew(w, renewWait)
	case w.Told < w.Durable:
		t.renew(w, 0)
	}
}

func (t *turn) renew(w chutepool.Worker, wait time.Duration) {
	end := time.Duration(0)
	if w.Greeted {
		w = t.leased(w)
		end = w.LeaseEnd
	}
	w.Holding = true
	w.LookAgain = false
	w.HeldAt = t.Now
	w.Told = w.Durable
	t.putWorker(w)
	t.Emit(chuteaction.RenewLease{WorkerTarget: t.target(w), LeaseEnd: end, Forget: w.Durable, Wait: wait})
}

// Flush returns the rows that must be recorded now, at most limit, and the state with their write on the way.
func (s State) Flush(limit int) (State, []chuteaction.Row) {
	if s.batch.active {
		return s, nil
	}
	if s.dirty.Len() == 0 {
		return s.withNothingOwed(), nil
	}
	b := batch{active: true}
	var rows []chuteaction.Row
	for i := s.dirty.Iterator(); !i.Done() && len(rows) < limit; {
		id, _, _ := i.Next()
		j, ok := s.Job(id)
		s.dirty = s.dirty.Delete(id)
		if !ok {
			continue
		}
		b.jobs = append(b.jobs, id)
		rows = append(rows, chuteaction.Row{RowKey: chuteaction.ProgressKey(id), Value: chuteaction.ProgressRow{Job: id, Progress: j.Progress}})
		s = s.withWriting(j)
	}
	if s.dirty.Len() == 0 {
		b.acks = s.owed()
	}
	s.batch = b
	return s, rows
}

// owed returns the ends that were handled and are not known to be recorded.
func (s State) owed() []ack {
	var acks []ack
	for _, w := range s.pool.All() {
		if w.Handled > w.Durable {
			acks = append(acks, ack{worker: w.ID, number: w.Handled})
		}
	}
	return acks
}

// withNothingOwed returns the state after ends that changed no job: there is nothing to record for them.
func (s State) withNothingOwed() State {
	for _, a := range s.owed() {
		w, _ := s.pool.Get(a.worker)
		w.Durable = a.number
		s.pool = s.pool.With(w)
	}
	return s
}

// withWriting marks the planned runs of the job as being recorded.
func (s State) withWriting(j chuterun.Job) State {
	j.ForEachTask(func(id chutegraph.TaskID, task chuterun.Task) {
		if task.Phase != chuterun.TaskActive {
			return
		}
		w, r, ok := s.pool.Find(task.Worker, chutegraph.RunID{Task: id, Number: task.Run})
		if ok && r.Phase == chutepool.RunPlanned {
			r.Phase = chutepool.RunWriting
			s.pool = s.pool.With(w.WithRun(r))
		}
	})
	return s
}

// Committed goes on with what the latest write has recorded: starts may leave, ends may be forgotten.
func (s State) Committed(t *chuteaction.Turn, environment Environment) State {
	u := s.turn(t, environment)
	b := u.batch
	u.batch = batch{}
	for _, a := range b.acks {
		if w, ok := u.pool.Get(a.worker); ok && w.Handled >= a.number {
			w.Durable = max(w.Durable, a.number)
			u.putWorker(w)
			u.renewIfDue(w)
		}
	}
	for _, id := range b.jobs {
		if j, ok := u.Job(id); ok {
			u.launch(j)
		}
	}
	return u.State
}

// launch orders the recorded runs of a job to start, where that is still right. A gang starts whole or not at all.
func (t *turn) launch(j chuterun.Job) {
	wrong := make(map[chutegraph.StepID]bool)
	var ready []chutepool.Run
	var workers []chuterun.WorkerID
	j.ForEachTask(func(id chutegraph.TaskID, task chuterun.Task) {
		w, r, ok := t.pool.Find(task.Worker, chutegraph.RunID{Task: id, Number: task.Run})
		if !ok || r.Phase != chutepool.RunWriting {
			return
		}
		r = r.WithPhase(chutepool.RunOrdered, t.Now)
		t.putWorker(w.WithRun(r))
		ready = append(ready, r)
		workers = append(workers, w.ID)
		if j.Phase.Ended() || !w.Greeted || !t.mayStartOn(w) {
			wrong[id.StepID] = true
		}
	})
	for i, r := range ready {
		if wrong[r.ID.Task.StepID] && (j.Phase.Ended() || j.Step(r.ID.Task.StepID).Gang || !t.startable(workers[i])) {
			t.Count("start-dropped", "no-longer-right")
			t.releaseRun(workers[i], r.ID, chuterun.RunEnd{Run: r.ID, Kind: chuterun.EndStopped})
			continue
		}
		if w, current, ok := t.pool.Find(workers[i], r.ID); ok && current.Phase == chutepool.RunOrdered {
			t.orderStart(w, current)
		}
	}
}

func (t *turn) startable(id chuterun.WorkerID) bool {
	w, ok := t.pool.Get(id)
	return ok && w.Greeted && t.mayStartOn(w)
}
