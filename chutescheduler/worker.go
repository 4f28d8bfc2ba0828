package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterun"
)

// Workers takes news of the list of workers.
func (s State) Workers(t *chuteaction.Turn, environment Environment, e chuteaction.TableChanged) State {
	u := s.turn(t, environment)
	present := make(map[chuterun.WorkerID]bool)
	for _, r := range e.Rows {
		id := chuterun.WorkerID(r.Key)
		row, ok := r.Value.(chuteaction.WorkerRow)
		if !ok {
			u.unlisted(id, "entry-gone")
			continue
		}
		present[id] = true
		u.listed(row.Listing)
	}
	if !e.Whole {
		return u.State
	}
	for _, w := range u.pool.All() {
		if w.Listed && !present[w.ID] {
			u.unlisted(w.ID, "not-in-list")
		}
	}
	if !u.hasPool {
		u.hasPool = true
		u.poolAt = t.Now
		u.planDue = true
		u.Log(part, "workers read", "", "workers", len(present))
	}
	return u.State
}

func (t *turn) listed(listing chutepool.Listing) {
	w, known := t.pool.Get(listing.ID)
	if !known {
		w = chutepool.NewWorker(listing, t.Now)
		t.putWorker(w)
		t.Log(part, "worker listed", "", "worker", w.ID, "zone", w.Zone, "rack", w.Rack, "draining", w.Draining)
		return
	}
	if w.Life != 0 && listing.Life < w.Life {
		return // news of an earlier life
	}
	if w.Life != 0 && listing.Life > w.Life {
		t.lifeBegan(w, listing.Life)
		w, _ = t.pool.Get(listing.ID)
	}
	drains := listing.Draining && !w.Draining
	moved := w.Address != "" && w.Address != listing.Address
	if moved {
		t.Emit(chuteaction.ForgetWorker{Worker: w.ID})
	}
	w = w.WithListing(listing, t.Now)
	t.putWorker(w)
	if drains {
		t.Count("worker-draining", "listed")
		t.Log(part, "worker is draining", "", "worker", w.ID, "remains", listing.Remains, "runs", w.RunCount())
	}
}

func (t *turn) unlisted(id chuterun.WorkerID, reason string) {
	w, ok := t.pool.Get(id)
	if !ok || !w.Listed {
		return
	}
	t.Log(part, "worker is listed no longer", "", "worker", id, "reason", reason, "runs", w.RunCount())
	w = w.WithUnlisted()
	w.HoldAfter = t.Now
	w.Left = w.Greeted && t.Now.Sub(w.AnsweredAt) < leftLimit
	t.putWorker(w)
}

// leftLimit is the age of a worker's latest answer under which its entry cannot have lapsed by silence: a worker that
// vanishes from the list so soon, and answers no more, has left.
const leftLimit = 3 * time.Second

// lifeBegan enters that a worker was started anew: what it ran is gone, but orders that are on the way may still
// reach it.
func (t *turn) lifeBegan(w chutepool.Worker, life int64) {
	t.Count("worker-restarted", "new-life")
	t.Log(part, "worker has a new life", "", "worker", w.ID, "runs", w.RunCount(), "life", life)
	former := w
	w = w.WithNewLife(life)
	w.HoldAfter = t.Now
	t.putWorker(w)
	for _, r := range former.Runs() {
		t.outliveRun(w.ID, r)
	}
}

// outliveRun draws the consequence of a worker's new life for a run. One that the worker never listed may have been
// started in the new life, although the answer to its order came before the news.
func (t *turn) outliveRun(id chuterun.WorkerID, r chutepool.Run) {
	switch r.Phase {
	case chutepool.RunWorking:
		if r.Life != 0 {
			t.releaseRun(id, r.ID, chuterun.RunEnd{Run: r.ID, Kind: chuterun.EndLost})
			return
		}
		w, _ := t.pool.Get(id)
		t.putWorker(w.WithRun(r.WithPhase(chutepool.RunWorking, t.Now)))
	case chutepool.RunStopping:
		if r.Life != 0 && !r.Unanswered {
			t.releaseRun(id, r.ID, chuterun.RunEnd{Run: r.ID, Kind: chuterun.EndLost})
		}
	case chutepool.RunOrdered, chutepool.RunPlanned, chutepool.RunWriting:
		t.stopRun(id, r.ID, "worker-restarted")
	}
}

// workerReplaced enters that another worker answers at the address: this one is gone with all that it ran.
func (t *turn) workerReplaced(id chuterun.WorkerID) {
	w, ok := t.pool.Get(id)
	if !ok {
		return
	}
	t.Count("worker-lost", "replaced")
	t.Log(part, "another worker answers at the address", "", "worker", id, "address", w.Address, "runs", w.RunCount())
	t.loseWorker(w.WithUnlisted())
}

// loseWorker ends all runs of a worker that certainly works no longer under its lease.
func (t *turn) loseWorker(w chutepool.Worker) {
	w.Greeted = false
	w.Lost = true
	t.putWorker(w)
	for _, r := range w.Runs() {
		if r.Phase == chutepool.RunWriting {
			continue // the end of the write finds the worker lost
		}
		t.releaseRun(w.ID, r.ID, chuterun.RunEnd{Run: r.ID, Kind: chuterun.EndLost})
	}
}

// Renewed handles the end of a renewal.
func (s State) Renewed(t *chuteaction.Turn, environment Environment, e chuteaction.LeaseRenewed) (State, bool) {
	u := s.turn(t, environment)
	w, ok := u.pool.Get(e.Worker)
	if e.Epoch != u.epoch || !ok {
		return u.State, false
	}
	w.Holding = false
	switch e.Outcome {
	case chuteaction.OrderTaken:
		u.renewed(w, e)
	case chuteaction.OrderElsewhere:
		u.putWorker(w)
		u.workerReplaced(w.ID)
	case chuteaction.OrderRefused:
		u.fenced = e.Reason == chuteaction.RefusedFence
		u.renewalMissed(w, e.Reason.String())
	case chuteaction.OrderUnhealthy:
		u.renewalMissed(w, "unhealthy")
	case chuteaction.OrderUnknown:
		u.renewalMissed(w, "no-answer")
	}
	return u.State, u.fenced
}

func (t *turn) renewalMissed(w chutepool.Worker, reason string) {
	if w.Misses == 0 {
		t.Log(part, "worker does not answer", "", "worker", w.ID, "reason", reason, "runs", w.RunCount(),
			"lease-left", w.LeaseUntil.Sub(t.Now))
	}
	t.Count("renewal-missed", reason)
	w.Misses++
	if w.Left {
		t.putWorker(w)
		t.Count("worker-lost", "left")
		t.Log(part, "worker has left", "", "worker", w.ID, "runs", w.RunCount())
		t.loseWorker(w)
		return
	}
	w.HoldAfter = t.Now.Add(missPause(w))
	t.putWorker(w)
}

// missPause returns the wait before the next renewal to a worker that did not answer.
func missPause(w chutepool.Worker) time.Duration {
	if w.Working() {
		return 200 * time.Millisecond
	}
	return min(time.Duration(w.Misses)*500*time.Millisecond, 3*time.Second)
}

func (t *turn) renewed(w chutepool.Worker, e chuteaction.LeaseRenewed) {
	if w.Life != 0 && e.Life != 0 && e.Life < w.Life {
		t.putWorker(w)
		return // a late answer of an earlier life
	}
	if w.Life != 0 && e.Life > w.Life {
		t.lifeBegan(w, e.Life)
		w, _ = t.pool.Get(w.ID)
	}
	if w.Misses > 0 || !w.Greeted {
		t.Log(part, "worker answers", "", "worker", w.ID, "missed", w.Misses, "running", len(e.Running), "ended", len(e.Ended))
		t.planDue = true
	}
	if e.Life != 0 {
		w.Life = e.Life
	}
	stale := w.Greeted && e.Clock < w.SeenAt // answers may overtake each other
	w.SeenAt = max(w.SeenAt, e.Clock)
	w.Clock = chutepool.Clock{Reading: e.Clock, At: t.Now}
	w.Misses, w.Lost = 0, false
	w.AnsweredAt = t.Now
	first := !w.Greeted
	w.Greeted = true
	t.putWorker(w)
	t.enterEnds(w.ID, e.Ended)
	if stale {
		return
	}
	t.enterRunning(w.ID, e.Running)
	t.findAbsent(w.ID, e, first)
	t.paceWorker(w.ID)
}

func (t *turn) enterEnds(id chuterun.WorkerID, ends []chuterun.RunEnd) {
	for _, end := range ends {
		w, _ := t.pool.Get(id)
		if end.Number <= w.Handled {
			continue
		}
		w.Handled = end.Number
		t.putWorker(w)
		t.runEnded(w, end)
	}
}

func (t *turn) enterRunning(id chuterun.WorkerID, reports []chuterun.RunReport) {
	for _, report := range reports {
		w, r, ok := t.pool.Find(id, report.Run)
		if !ok {
			t.adopt(id, report)
			continue
		}
		if r.Phase == chutepool.RunOrdered {
			r = r.WithPhase(chutepool.RunWorking, t.Now)
		}
		t.noteProgress(id, r, report.Percent)
		t.putWorker(w.WithRun(r.WithReport(w.Life, report, t.Now)))
		if !t.expected(id, report.Run) {
			t.stopRun(id, report.Run, "not-expected")
		}
	}
}

// noteProgress learns from a run's progress how fast its worker is.
func (t *turn) noteProgress(id chuterun.WorkerID, r chutepool.Run, percent int) {
	if r.ReadAt.IsZero() || percent >= 100 || r.Inherited && r.Percent == 0 {
		return
	}
	t.speeds = t.speeds.WithProgress(r.ID.Task.StepID, id, float64(percent-r.Percent), t.Now.Sub(r.ReadAt), t.Now)
}

// expected reports whether the run is the one that its task should have at work on the worker.
func (t *turn) expected(worker chuterun.WorkerID, run chutegraph.RunID) bool {
	j, ok := t.live.Get(run.Task.Job)
	if !ok {
		return false
	}
	task, ok := j.Task(run.Task)
	if !ok || task.Run != run.Number || task.Worker != worker {
		return false
	}
	ending := task.Phase == chuterun.TaskDone && j.Step(run.Task.StepID).Gang // one member's end stands for all
	return task.Phase == chuterun.TaskActive || ending
}

// adopt stops a run that nobody should have at work there; until it has ended, it takes room.
func (t *turn) adopt(id chuterun.WorkerID, report chuterun.RunReport) {
	w, _ := t.pool.Get(id)
	r := chutepool.Run{ID: report.Run}
	if j, ok := t.Job(report.Run.Task.Job); ok && report.Run.Task.Step < len(j.Spec.Steps) {
		r.Reserved = j.Step(report.Run.Task.StepID).Reserved()
		r.Priority = j.Priority
	}
	t.Count("run-stopped", "not-expected")
	t.Log(part, "run is stopped that is not expected there", report.Run.Task.Job, "run", report.Run, "worker", id)
	t.orderStop(w, r.WithPhase(chutepool.RunStopping, t.Now))
}

// findAbsent looks for runs that the worker should list but does not.
func (t *turn) findAbsent(id chuterun.WorkerID, e chuteaction.LeaseRenewed, first bool) {
	listed := make(map[chutegraph.RunID]bool, len(e.Running))
	for _, report := range e.Running {
		listed[report.Run] = true
	}
	w, _ := t.pool.Get(id)
	for _, r := range w.Runs() {
		if listed[r.ID] {
			continue
		}
		switch r.Phase {
		case chutepool.RunWorking:
			if !e.SentAt.Before(r.Since) {
				t.Count("run-ended", "absent")
				t.releaseRun(id, r.ID, chuterun.RunEnd{Run: r.ID, Kind: chuterun.EndLost})
			}
		case chutepool.RunStopping:
			if !r.StoppedAt.IsZero() && !e.SentAt.Before(r.StoppedAt) {
				t.releaseRun(id, r.ID, chuterun.RunEnd{Run: r.ID, Kind: chuterun.EndStopped})
			}
		case chutepool.RunOrdered:
			if first && !r.Outstanding {
				t.resume(id, r)
			}
		case chutepool.RunPlanned, chutepool.RunWriting:
		}
	}
}

// resume goes on with a run that a former scheduler recorded and the worker does not list.
func (t *turn) resume(id chuterun.WorkerID, r chutepool.Run) {
	w, _ := t.pool.Get(id)
	j, ok := t.Job(r.ID.Task.Job)
	if !ok || j.Phase.Ended() || !t.mayStartOn(w) {
		t.stopRun(id, r.ID, "not-resumed")
		return
	}
	t.orderStart(w, r)
}

// mayStartOn reports whether new work may go to the worker.
func (t *turn) mayStartOn(w chutepool.Worker) bool {
	return w.Listed && !w.Draining && !w.Lost && !t.environment.ZonesOut[w.Zone] && !t.closing(w.ID)
}
