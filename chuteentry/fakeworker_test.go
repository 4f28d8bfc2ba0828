package chuteentry_test

import (
	"fmt"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// fakeWorker runs tasks under a lease and keeps the platform's promises. It notes what the scheduler must not do.
type fakeWorker struct {
	world    *world
	listing  chutepool.Listing
	born     time.Time
	token    int64
	leaseEnd time.Time
	runs     map[chutegraph.RunID]*fakeRun
	ends     []chutetask.RunEnd
	number   int64
	barred   map[chutegraph.TaskID]int // highest run that was stopped or has ended
	lapsed   map[int64]bool            // ends that were still listed when the lease ran out
	endedAt  map[chutegraph.RunID]time.Time
	dead     bool
	cut      bool    // from all hosts
	unheard  float64 // share of the orders that get no answer and are carried out late
	fails    bool    // all that it starts
}

type fakeRun struct {
	id    chutegraph.RunID
	step  chutegraph.Step
	job   *fakeJob
	began time.Time
	alone bool // waits for the rest of its gang
	ended bool
	pace  int // percent
}

func (w *world) addWorker(name string, i int) *fakeWorker {
	k := &fakeWorker{
		world: w, born: w.now, runs: make(map[chutegraph.RunID]*fakeRun), lapsed: make(map[int64]bool), endedAt: make(map[chutegraph.RunID]time.Time), barred: make(map[chutegraph.TaskID]int),
		listing: chutepool.Listing{
			ID: chutetask.WorkerID(name), Service: "main", Address: name + ":1", Zone: fmt.Sprintf("zone-%d", i%3),
			Rack: fmt.Sprintf("rack-%d", i/4), Labels: []string{"a", fmt.Sprintf("rack-%d", i/4)},
			Capacity: chutecapacity.Resources{Processor: 64000, Memory: 128000, Accelerators: 8},
		},
	}
	k.listing.Incarnation = k.born.UnixMilli()
	w.workers[name] = k
	k.list()
	k.lapse()
	return k
}

func (k *fakeWorker) key() chuteaction.RowKey {
	return chuteaction.RowKey{Table: chuteaction.TableWorkers, Key: string(k.listing.ID)}
}

func (k *fakeWorker) list() {
	k.world.store.put(k.key(), chuteaction.WorkerRow{Listing: k.listing})
}

// die ends the process; its entry goes after the delay.
func (k *fakeWorker) die(entryGone time.Duration) {
	k.dead = true
	for _, r := range k.runs {
		r.ended = true
	}
	k.runs = make(map[chutegraph.RunID]*fakeRun)
	k.world.after(entryGone, func() {
		if k.dead {
			k.world.store.drop(k.key(), nil)
		}
	})
}

// restart begins a new incarnation under the same id.
func (k *fakeWorker) restart() {
	k.die(time.Hour)
	k.dead = false
	k.born = k.world.now
	k.listing.Incarnation = k.born.UnixMilli()
	k.listing.Draining = false
	k.token, k.number = 0, 0
	k.ends = nil
	k.barred = make(map[chutegraph.TaskID]int)
	k.lapsed = make(map[int64]bool)
	k.leaseEnd = time.Time{}
	k.list()
}

func (k *fakeWorker) drain(d time.Duration) {
	k.listing.Draining = true
	k.listing.TimeToLeave = d
	k.list()
	k.world.after(d+time.Second, func() { k.die(50 * time.Millisecond) })
}

func (k *fakeWorker) clock() time.Duration {
	return k.world.now.Sub(k.born)
}

// lapse ends everything whose lease has run out.
func (k *fakeWorker) lapse() {
	if !k.dead && !k.leaseEnd.IsZero() && k.world.now.After(k.leaseEnd) {
		for _, r := range k.sorted() {
			k.end(r, chutetask.EndLeaseExpired)
		}
		for _, e := range k.ends {
			k.lapsed[e.Number] = true
		}
	}
	k.world.after(100*time.Millisecond, k.lapse)
}

func (k *fakeWorker) sorted() []*fakeRun {
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

func (k *fakeWorker) end(r *fakeRun, kind chutetask.EndKind) {
	if r.ended {
		return
	}
	r.ended = true
	delete(k.runs, r.id)
	k.barred[r.id.Task] = max(k.barred[r.id.Task], r.id.Number)
	k.number++
	checkpoint := ""
	if r.step.Checkpointing && !r.alone {
		checkpoint = "saved"
	}
	k.ends = append(k.ends, chutetask.RunEnd{Number: k.number, Run: r.id, Kind: kind, Checkpoint: checkpoint})
	k.endedAt[r.id] = k.world.now
	if kind == chutetask.EndDone {
		r.job.done[r.id.Task] = k.world.now
	}
	if r.step.Gang {
		k.world.endGang(r, kind)
	}
}

// endGang ends the other members of a gang with one.
func (w *world) endGang(r *fakeRun, kind chutetask.EndKind) {
	for _, name := range w.workerNames() {
		k := w.workers[name]
		for _, other := range k.sorted() {
			if other.id.Task.StepID != r.id.Task.StepID || other.id.Number != r.id.Number {
				continue
			}
			if kind == chutetask.EndDone {
				k.end(other, kind)
			} else {
				k.end(other, chutetask.EndGangBroken)
			}
		}
	}
}

func (k *fakeWorker) fenced(token int64) bool {
	if token < k.token {
		return true
	}
	k.token = token
	return false
}

func (k *fakeWorker) extend(leaseEnd time.Duration) {
	at := k.born.Add(min(leaseEnd, k.clock()+maxLease))
	if at.After(k.leaseEnd) {
		k.leaseEnd = at
	}
}

func (k *fakeWorker) start(o chuteaction.StartRun) chuteaction.Event {
	refuse := func(reason chuteaction.RefusalReason) chuteaction.Event {
		return chuteaction.RunStarted{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderRefused, Reason: reason, Clock: k.clock()}
	}
	taken := chuteaction.RunStarted{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderAccepted, Clock: k.clock()}
	switch {
	case k.fenced(o.Epoch):
		return refuse(chuteaction.RefusedFenced)
	case k.runs[o.Run] != nil:
		return taken
	case o.Run.Number <= k.barred[o.Run.Task]:
		return refuse(chuteaction.RefusedStale)
	case o.LeaseEnd <= k.clock():
		return refuse(chuteaction.RefusedExpired)
	}
	k.extend(o.LeaseEnd)
	k.begin(o)
	return taken
}

// begin starts a run and checks what must hold for each start.
func (k *fakeWorker) begin(o chuteaction.StartRun) {
	w := k.world
	job := w.clients.jobs[o.Run.Task.Job]
	if job == nil {
		w.broken("%s was started, but nobody submitted it", o.Run)
		return
	}
	step := job.spec.Steps[o.Run.Task.Step]
	w.checkStart(k, o, job, step)
	r := &fakeRun{id: o.Run, step: step, job: job, began: w.now, alone: step.Gang, pace: 100}
	k.runs[o.Run] = r
	if step.Gang {
		w.after(gangTimeout, func() {
			if r.alone && !r.ended {
				k.end(r, chutetask.EndGangIncomplete)
			}
		})
		w.joinGang(r)
		return
	}
	k.work(r)
}

func (w *world) checkStart(k *fakeWorker, o chuteaction.StartRun, job *fakeJob, step chutegraph.Step) {
	used := step.Reserved()
	for _, r := range k.runs {
		used = used.Plus(r.step.Reserved())
	}
	if !used.Fits(k.listing.Capacity) {
		w.broken("%s brings %s over its capacity", o.Run, k.listing.ID)
	}
	if job.noted[o.Run.Task] {
		w.broken("%s was started after the end of its task was noted", o.Run)
	}
	job.started[o.Run.Task] = w.now
	for _, earlier := range step.After {
		for i := range job.spec.Steps[earlier].Count {
			id := chutegraph.TaskID{StepID: chutegraph.StepID{Job: o.Run.Task.Job, Step: earlier}, Index: i}
			if _, ok := job.done[id]; !ok && !job.spec.Steps[earlier].Gang {
				w.broken("%s was started before %s was done", o.Run, id)
			}
		}
	}
	for _, name := range w.workerNames() {
		for id := range w.workers[name].runs {
			if id.Task == o.Run.Task && id != o.Run {
				w.broken("%s was started on %s while %s runs on %s", o.Run, k.listing.ID, id, name)
			}
		}
	}
	if !job.cancelled.IsZero() && w.now.Sub(job.cancelled) > 3*time.Second && k.unheard == 0 {
		w.broken("%s was started after its job was cancelled", o.Run)
	}
}

// joinGang lets a gang work once all of its members are there.
func (w *world) joinGang(r *fakeRun) {
	var members []*fakeRun
	var at []*fakeWorker
	for _, name := range w.workerNames() {
		for _, other := range w.workers[name].sorted() {
			if other.id.Task.StepID == r.id.Task.StepID && other.id.Number == r.id.Number {
				members = append(members, other)
				at = append(at, w.workers[name])
			}
		}
	}
	if len(members) < r.step.Count {
		return
	}
	for i, m := range members {
		m.alone = false
		at[i].work(m)
	}
}

func (k *fakeWorker) work(r *fakeRun) {
	if k.fails {
		k.world.after(100*time.Millisecond, func() { k.end(r, chutetask.EndFailed) })
		return
	}
	k.world.after(r.job.duration, func() {
		if !k.dead {
			k.end(r, chutetask.EndDone)
		}
	})
}

func (k *fakeWorker) stop(o chuteaction.StopRun) chuteaction.Event {
	stopped := chuteaction.RunStopped{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderAccepted}
	if k.fenced(o.Epoch) {
		stopped.Outcome, stopped.Reason = chuteaction.OrderRefused, chuteaction.RefusedFenced
		return stopped
	}
	k.barred[o.Run.Task] = max(k.barred[o.Run.Task], o.Run.Number)
	if r := k.runs[o.Run]; r != nil {
		k.world.after(k.world.delay(stopTimeout/2), func() {
			if !k.dead {
				k.end(r, chutetask.EndStopped)
			}
		})
	}
	return stopped
}

func (k *fakeWorker) report(o chuteaction.RenewLease, sent time.Time) chuteaction.LeaseRenewed {
	renewed := chuteaction.LeaseRenewed{
		Epoch: o.Epoch, Worker: o.Worker, SentAt: sent, Outcome: chuteaction.OrderAccepted, Clock: k.clock(), Incarnation: k.listing.Incarnation,
	}
	for _, r := range k.sorted() {
		renewed.Running = append(renewed.Running, chutetask.RunReport{Run: r.id, Usage: k.tail(r)})
	}
	renewed.Ended = slices.Clone(k.ends)
	return renewed
}

// forget drops the ends that the scheduler has noted. An end that is noted must not be followed by another start; one
// that was lost with a worker's incarnation may be.
func (k *fakeWorker) forget(number int64) {
	for _, e := range k.ends {
		if e.Number > number || e.Kind != chutetask.EndDone || k.lapsed[e.Number] {
			continue
		}
		job := k.world.clients.jobs[e.Run.Task.Job]
		if job.spec.Steps[e.Run.Task.Step].LongRunning {
			continue // is started again however it ends
		}
		job.noted[e.Run.Task] = true
		if job.started[e.Run.Task].After(k.endedAt[e.Run]) {
			k.world.broken("%s was noted as done, but its task had been started again", e.Run)
		}
	}
	k.ends = slices.DeleteFunc(k.ends, func(e chutetask.RunEnd) bool { return e.Number <= number })
}

const (
	workerDelay  = 3 * time.Millisecond
	orderTimeout = 700 * time.Millisecond
)

// order sends a start or stop order; some get no answer and are carried out late.
func (w *world) order(h *fakeHost, target chuteaction.WorkerTarget, carryOut func(*fakeWorker) chuteaction.Event, unknown chuteaction.Event) {
	k := w.workers[string(target.Worker)]
	if k == nil || k.dead || k.cut {
		w.after(orderTimeout, func() { h.deliver(unknown) })
		return
	}
	if w.chance(k.unheard) {
		incarnation := k.born
		w.after(2*time.Second+w.delay(5*time.Second), func() {
			if !k.dead && k.born.Equal(incarnation) {
				carryOut(k)
			}
		})
		w.after(orderTimeout, func() { h.deliver(unknown) })
		return
	}
	w.after(w.delay(workerDelay), func() {
		if k.dead {
			w.after(orderTimeout, func() { h.deliver(unknown) })
			return
		}
		answer := carryOut(k)
		w.after(w.delay(workerDelay), func() { h.deliver(answer) })
	})
}

func (w *world) renew(h *fakeHost, o chuteaction.RenewLease) {
	sent := w.now
	k := w.workers[string(o.Worker)]
	unknown := chuteaction.LeaseRenewed{Epoch: o.Epoch, Worker: o.Worker, SentAt: sent, Outcome: chuteaction.OrderUnknown}
	if k == nil || k.dead || k.cut {
		w.after(o.PollTimeout+orderTimeout, func() { h.deliver(unknown) })
		return
	}
	w.after(w.delay(workerDelay), func() {
		if k.dead || k.cut {
			w.after(o.PollTimeout+orderTimeout, func() { h.deliver(unknown) })
			return
		}
		if k.fenced(o.Epoch) {
			refused := unknown
			refused.Outcome, refused.Reason = chuteaction.OrderRefused, chuteaction.RefusedFenced
			h.deliver(refused)
			return
		}
		if o.LeaseEnd > 0 {
			k.extend(o.LeaseEnd)
		}
		k.forget(o.AcknowledgedEnd)
		k.await(h, o, sent, len(k.ends))
	})
}

// await answers a renewal as soon as there is an end, or when its wait is over.
func (k *fakeWorker) await(h *fakeHost, o chuteaction.RenewLease, sent time.Time, known int) {
	w := k.world
	if k.dead || k.cut {
		unknown := chuteaction.LeaseRenewed{Epoch: o.Epoch, Worker: o.Worker, SentAt: sent, Outcome: chuteaction.OrderUnknown}
		w.after(orderTimeout, func() { h.deliver(unknown) })
		return
	}
	if len(k.ends) > 0 || w.now.Sub(sent) >= o.PollTimeout {
		answer := k.report(o, sent)
		w.after(w.delay(workerDelay), func() { h.deliver(answer) })
		return
	}
	w.after(10*time.Millisecond, func() { k.await(h, o, sent, known) })
}
