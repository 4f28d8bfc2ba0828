package chuteshard

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteregistry"
)

// pollExpiry is the time after which a poll that is still unsent is dropped.
const pollExpiry = time.Second

// checkWorkers polls the workers that are due and updates whether they are usable. It covers all workers once in a poll
// interval, in the order of their ids.
func (t *transition) checkWorkers() {
	elapsed := min(t.Now().Sub(t.state.checkedAt), chuteregistry.PollInterval)
	count := int(int64(t.State.Registry.Len()) * int64(elapsed) / int64(chuteregistry.PollInterval))
	if count == 0 && elapsed < chuteregistry.PollInterval {
		return
	}
	changed := false
	for _, r := range t.State.Registry.NextAfter(t.state.checkedWorker, count) {
		t.state.checkedWorker = r.Worker.ID
		changed = t.updateUsable(r) || changed
		t.poll(r)
	}
	t.state.checkedAt = t.Now()
	if changed {
		t.repack()
	}
}

// updateAllUsable updates whether each worker is usable, after a change of the document or the topology.
func (t *transition) updateAllUsable() {
	changed := false
	for _, r := range t.State.Registry.All() {
		changed = t.updateUsable(r) || changed
	}
	if changed {
		t.repack()
	}
}

// repack places the guaranteed cells again after the set of usable workers has changed.
func (t *transition) repack() {
	t.State.Inventory = t.State.Inventory.Repacked()
	t.State.PlanDue = true
	t.reportUnpacked()
}

// updateUsable makes the worker usable or unusable according to its reports, failures and zone, and reports whether
// that changed. It stops the gangs on a silent worker.
func (t *transition) updateUsable(r chuteregistry.Record) bool {
	if r.Health.Silent(t.Now()) {
		t.stopGangsOn(r)
	}
	usable := r.Usable(t.Now()) && !t.Environment.Document.ZoneOut(r.Worker.Zone)
	if usable == (t.State.Inventory.Usable().Mask(r.Worker.ID) != 0) {
		return false
	}
	t.State.Inventory = t.State.Inventory.WithUsable(r.Worker.ID, usable)
	return true
}

// stopGangsOn stops the running gangs that have a running part on the worker.
func (t *transition) stopGangsOn(r chuteregistry.Record) {
	for _, id := range r.Jobs {
		j, ok := t.State.LiveJob(id)
		if !ok || j.Phase != chutejob.PhaseRunning {
			continue
		}
		affected := slices.ContainsFunc(j.Parts, func(p chutejob.Part) bool {
			return p.Block.Worker == r.Worker.ID && p.State == chutejob.PartRunning
		})
		if affected {
			t.Count("job-stopped", chutejob.StopPartLost.String())
			t.StopRemaining(j, chutejob.StopPartLost)
		}
	}
}

// poll asks the worker for its report and, unless the worker is silent, renews the leases of its tasks.
func (t *transition) poll(r chuteregistry.Record) {
	r, lease := r.WithPoll(t.Now())
	t.State.Registry = t.State.Registry.WithRecord(r)
	t.Emit(chuteevent.PollWorker{
		Worker: r.Worker.ID, Address: r.Worker.Address, Expires: t.Now().Add(pollExpiry),
		Poll: chuteorder.Poll{
			Fence: chuteorder.Fence{Shard: t.State.Shard, Epoch: t.State.Epoch}, Lease: lease, Acknowledged: r.Acknowledged,
		},
	})
}

// handlePolled records a worker's report. A worker that was silent is polled again at once, which gives it a lease.
func (t *transition) handlePolled(e chuteevent.WorkerPolled) {
	t.HandleReport(e)
	r, ok := t.State.Registry.Get(e.Worker)
	if ok && e.Lease == 0 && !r.Health.Silent(t.Now()) {
		t.poll(r)
	}
	if ok && t.updateUsable(r) {
		t.repack()
	}
}
