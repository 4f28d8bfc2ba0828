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

// pollExpiry is the time after which a poll that has not left is dropped.
const pollExpiry = time.Second

// settlingTime is how long after a takeover guarantees are not reported as lost: the workers' first reports are due.
const settlingTime = 2 * chuteregistry.PollInterval

// advanceJobs drives every live job whose phase has a deadline.
func (t *turn) advanceJobs() {
	room := t.State.Inventory.Spare()
	for _, j := range t.State.Live() {
		switch j.Phase {
		case chutejob.PhaseClaiming:
			t.AdvanceClaim(j)
		case chutejob.PhaseReady:
			t.OrderStarts(j)
		case chutejob.PhaseStarting:
			t.AdvanceStart(j)
		case chutejob.PhaseRunning:
			room = t.advanceRun(j, room)
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

// advanceRun moves a running gang out of a zone that leaves: at once if it can save its progress and has room elsewhere,
// and at the end of the zone's grace otherwise. It returns the room that remains.
func (t *turn) advanceRun(j chutejob.Job, room chuteaccelerator.Space) chuteaccelerator.Space {
	leaving := time.Time{}
	if t.state.zonesOut.Len() > 0 {
		for _, p := range j.Parts {
			if since, out := t.state.zonesOut.Get(t.zone(p.Block.Worker)); out {
				leaving = since
			}
		}
	}
	if leaving.IsZero() || !j.Spec.Restartable() {
		t.checkpointRegularly(j)
		return room
	}
	blocks, fits := room.Place(j.Spec.Shape)
	if (!j.Spec.Checkpoint || !fits) && t.Now().Sub(leaving) < t.Environment.Document.Policy.ZoneGrace {
		return room
	}
	t.Count("job-stopped", chutejob.StopZoneOut.String())
	t.Stop(j, chutejob.StopZoneOut)
	return room.Without(blocks)
}

// checkpointRegularly bounds the work that a failure can lose.
func (t *turn) checkpointRegularly(j chutejob.Job) {
	if !j.Spec.Checkpoint || t.Now().Sub(j.CheckpointOrderedAt) < CheckpointInterval {
		return
	}
	t.PutJob(j.WithCheckpointOrdered(t.Now()))
	t.OrderCheckpoints(j, t.Now().Add(t.Environment.Document.Policy.CheckpointGrace))
}

func (t *turn) zone(id chutetopology.WorkerID) chutetopology.ZoneID {
	r, _ := t.State.Registry.Get(id)
	return r.Worker.Zone
}

// followDocument gives the book the document's cells and notes since when zones are out.
func (t *turn) followDocument() {
	if t.state.document == t.Environment.Document.Version {
		return
	}
	t.state.document = t.Environment.Document.Version
	t.State.Inventory = t.State.Inventory.WithCells(t.Environment.Document.Cells(t.State.Shard))
	t.State.PlanDue = true
	for _, zone := range t.Environment.Topology.Zones() {
		_, known := t.state.zonesOut.Get(zone)
		switch out := t.Environment.Document.ZoneOut(zone); {
		case out && !known:
			t.state.zonesOut = t.state.zonesOut.Set(zone, t.Now())
		case !out && known:
			t.state.zonesOut = t.state.zonesOut.Delete(zone)
		}
	}
	t.judgeWorkers()
	t.reportLost()
}

// reportLost logs the guarantees that cannot be honoured, whenever their set changes.
func (t *turn) reportLost() {
	if t.Now().Sub(t.state.since) < settlingTime {
		return
	}
	var lost []string
	for _, c := range t.State.Inventory.Unpacked() {
		lost = append(lost, "workspace "+c.Workspace+": shape "+c.Shape.String())
	}
	if slices.Equal(lost, t.state.lost) {
		return
	}
	t.state.lost = lost
	for _, text := range lost {
		t.Warn("shard %d cannot honour %s", t.State.Shard, text)
		t.Count("guarantee-lost", "capacity")
	}
}

// followTopology rebuilds the book when workers come or go. Jobs keep what they hold on workers that remain; a job
// with a part on a worker that went loses it as it would lose a silent one.
func (t *turn) followTopology() {
	if t.Environment.Topology.Equal(t.State.Inventory.Topology()) {
		return
	}
	cells := t.State.Inventory.Cells()
	book := chuteinventory.New(t.Environment.Topology)
	t.State.Registry = t.State.Registry.WithTopology(t.Environment.Topology)
	t.State.Inventory = book.WithCells(cells)
	for _, j := range t.State.Live() {
		switch {
		case j.Phase == chutejob.PhaseClaiming:
			t.State.Inventory = t.State.Inventory.WithAssigned(j.Blocks())
		case j.HoldsAccelerators():
			t.State.Inventory = t.State.Inventory.WithHeld(j.Blocks(), j.Movable())
		}
	}
	t.judgeWorkers()
	t.State.PlanDue = true
}

// visitWorkers looks after the workers whose turn has come: each is polled and its health judged once in an interval.
func (t *turn) visitWorkers() {
	elapsed := min(t.Now().Sub(t.state.visitedAt), chuteregistry.PollInterval)
	count := int(int64(t.State.Registry.Len()) * int64(elapsed) / int64(chuteregistry.PollInterval))
	if count == 0 && elapsed < chuteregistry.PollInterval {
		return
	}
	changed := false
	for _, r := range t.State.Registry.NextAfter(t.state.visited, count) {
		t.state.visited = r.Worker.ID
		changed = t.judge(r) || changed
		t.poll(r)
	}
	t.state.visitedAt = t.Now()
	if changed {
		t.usableChanged()
	}
}

// judgeWorkers looks at the health of every worker, after a change that concerns them all.
func (t *turn) judgeWorkers() {
	changed := false
	for _, r := range t.State.Registry.All() {
		changed = t.judge(r) || changed
	}
	if changed {
		t.usableChanged()
	}
}

// usableChanged repacks the witness after workers became usable or not.
func (t *turn) usableChanged() {
	t.State.Inventory = t.State.Inventory.Repacked()
	t.State.PlanDue = true
	t.reportLost()
}

// judge makes the worker usable or not as its reports, failures and zone say, stops the gangs on a silent one, and
// reports whether its usability changed.
func (t *turn) judge(r chuteregistry.Record) bool {
	if r.Health.Silent(t.Now()) {
		t.stopLost(r)
	}
	usable := r.Usable(t.Now()) && !t.Environment.Document.ZoneOut(r.Worker.Zone)
	if usable == (t.State.Inventory.Usable().Mask(r.Worker.ID) != 0) {
		return false
	}
	t.State.Inventory = t.State.Inventory.WithUsable(r.Worker.ID, usable)
	return true
}

// stopLost stops the running gangs that have a part on the worker.
func (t *turn) stopLost(r chuteregistry.Record) {
	for _, id := range r.Jobs {
		j, ok := t.State.LiveJob(id)
		if !ok || j.Phase != chutejob.PhaseRunning {
			continue
		}
		lost := slices.ContainsFunc(j.Parts, func(p chutejob.Part) bool {
			return p.Block.Worker == r.Worker.ID && p.State == chutejob.PartRunning
		})
		if lost {
			t.Count("job-stopped", chutejob.StopPartLost.String())
			t.StopRemaining(j, chutejob.StopPartLost)
		}
	}
}

// poll asks the worker for its report and renews its leases, unless it is silent.
func (t *turn) poll(r chuteregistry.Record) {
	r, lease := r.WithPoll(t.Now())
	t.State.Registry = t.State.Registry.WithRecord(r)
	t.Emit(chuteevent.PollWorker{
		Worker: r.Worker.ID, Address: r.Worker.Address, Expires: t.Now().Add(pollExpiry),
		Poll: chuteorder.Poll{
			Fence: chuteorder.Fence{Shard: t.State.Shard, Epoch: t.State.Epoch}, Lease: lease, Acknowledged: r.Acknowledged,
		},
	})
}

// polled enters a worker's report. A worker that was silent gets its lease at once.
func (t *turn) polled(e chuteevent.WorkerPolled) {
	t.HandleReport(e)
	r, ok := t.State.Registry.Get(e.Worker)
	if ok && e.Lease == 0 && !r.Health.Silent(t.Now()) {
		t.poll(r)
	}
	if ok && t.judge(r) {
		t.usableChanged()
	}
}
