package chuteshard

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteinventory"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteregistry"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// CheckpointInterval is the time between two checkpoints of a running job that can save its progress.
const CheckpointInterval = 5 * time.Minute

// pollExpiry is the time after which a poll that is still unsent is dropped.
const pollExpiry = time.Second

// takeoverGrace is the time after a takeover in which the owner reports no cell as unpacked, because the workers have
// not sent their first reports yet.
const takeoverGrace = 2 * chuteregistry.PollInterval

// advanceJobs checks the deadline or condition that every live job's phase waits for.
func (t *transition) advanceJobs() {
	spare := t.State.Inventory.Spare()
	for _, j := range t.State.Live() {
		switch j.Phase {
		case chutejob.PhaseClaiming:
			t.AdvanceClaim(j)
		case chutejob.PhaseReady:
			t.OrderStarts(j)
		case chutejob.PhaseStarting:
			t.AdvanceStart(j)
		case chutejob.PhaseRunning:
			spare = t.advanceRunning(j, spare)
		case chutejob.PhaseCheckpointing:
			if !t.Now().Before(t.CheckpointDeadline(j)) {
				t.OrderStops(j.WithPhase(chutejob.PhaseStopping, t.Now()))
			}
		case chutejob.PhaseStopping:
			t.AdvanceStop(j)
		case chutejob.PhaseWaiting, chutejob.PhaseReserved, chutejob.PhaseEnded:
		}
	}
}

// advanceRunning stops a running gang that has a part in a zone taken out of service: at once if the job can save its
// progress and fits into the spare space, otherwise at the end of the zone's grace period. It orders periodic
// checkpoints for the other gangs. It returns the spare space that is left.
func (t *transition) advanceRunning(j chutejob.Job, spare chuteaccelerator.Space) chuteaccelerator.Space {
	outSince := time.Time{}
	if t.state.zonesOutSince.Len() > 0 {
		for _, p := range j.Parts {
			if since, out := t.state.zonesOutSince.Get(t.zone(p.Block.Worker)); out {
				outSince = since
			}
		}
	}
	if outSince.IsZero() || !j.Spec.Restartable() {
		t.checkpointPeriodically(j)
		return spare
	}
	blocks, fits := spare.Place(j.Spec.Shape)
	if (!j.Spec.Checkpoint || !fits) && t.Now().Sub(outSince) < t.Environment.Document.Policy.ZoneGrace {
		return spare
	}
	t.Count("job-stopped", chutejob.StopZoneOut.String())
	t.Stop(j, chutejob.StopZoneOut)
	return spare.Without(blocks)
}

// checkpointPeriodically orders a checkpoint every CheckpointInterval, which bounds the work that a failure can lose.
func (t *transition) checkpointPeriodically(j chutejob.Job) {
	if !j.Spec.Checkpoint || t.Now().Sub(j.CheckpointOrderedAt) < CheckpointInterval {
		return
	}
	t.PutJob(j.WithCheckpointOrdered(t.Now()))
	t.OrderCheckpoints(j, t.Now().Add(t.Environment.Document.Policy.CheckpointGrace))
}

func (t *transition) zone(id chutetopology.WorkerID) chutetopology.ZoneID {
	r, _ := t.State.Registry.Get(id)
	return r.Worker.Zone
}

// syncDocument applies a new version of the document: it gives the document's cells to the inventory and records when
// zones were taken out of service.
func (t *transition) syncDocument() {
	if t.state.documentVersion == t.Environment.Document.Version {
		return
	}
	t.state.documentVersion = t.Environment.Document.Version
	t.State.Inventory = t.State.Inventory.WithCells(t.Environment.Document.Cells(t.State.Shard))
	t.State.PlanDue = true
	for _, zone := range t.Environment.Topology.Zones() {
		_, known := t.state.zonesOutSince.Get(zone)
		switch out := t.Environment.Document.ZoneOut(zone); {
		case out && !known:
			t.state.zonesOutSince = t.state.zonesOutSince.Set(zone, t.Now())
		case !out && known:
			t.state.zonesOutSince = t.state.zonesOutSince.Delete(zone)
		}
	}
	t.updateAllUsable()
	t.reportUnpacked()
}

// reportUnpacked logs the guaranteed cells that cannot be packed whenever their set changes.
func (t *transition) reportUnpacked() {
	if t.Now().Sub(t.state.acquiredAt) < takeoverGrace {
		return
	}
	var unpacked []string
	for _, c := range t.State.Inventory.Unpacked() {
		unpacked = append(unpacked, "workspace "+c.Workspace+": shape "+c.Shape.String())
	}
	if slices.Equal(unpacked, t.state.reportedUnpacked) {
		return
	}
	t.state.reportedUnpacked = unpacked
	for _, text := range unpacked {
		t.Warn("shard %d cannot honour %s", t.State.Shard, text)
		t.Count("guarantee-lost", "capacity")
	}
}

// syncTopology rebuilds the inventory when workers were added or removed. Jobs keep their accelerators on the workers
// that remain; a job with a part on a removed worker loses the part as it would on a silent worker.
func (t *transition) syncTopology() {
	if t.Environment.Topology.Equal(t.State.Inventory.Topology()) {
		return
	}
	cells := t.State.Inventory.Cells()
	inventory := chuteinventory.New(t.Environment.Topology)
	t.State.Registry = t.State.Registry.WithTopology(t.Environment.Topology)
	t.State.Inventory = inventory.WithCells(cells)
	for _, j := range t.State.Live() {
		switch {
		case j.Phase == chutejob.PhaseClaiming:
			t.State.Inventory = t.State.Inventory.WithAssigned(j.Blocks())
		case j.HoldsAccelerators():
			t.State.Inventory = t.State.Inventory.WithHeld(j.Blocks(), j.Movable())
		}
	}
	t.updateAllUsable()
	t.State.PlanDue = true
}

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
