package chuteshard

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chuteinventory"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteregistry"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// CheckpointInterval is the time between two checkpoints of a running job that can save its progress.
const CheckpointInterval = 5 * time.Minute

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
