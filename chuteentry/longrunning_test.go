package chuteentry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// tailLatency returns the tail latency in milliseconds that a worker reports for a serving task. It grows with the pace
// of the best-effort tasks on the same worker.
func (k *fakeWorker) tailLatency(r *fakeRun) int {
	if r.step.TailLimit == 0 {
		return 0
	}
	tail := 50
	for _, other := range k.runs {
		if other.step.BestEffort {
			tail += other.pace
		}
	}
	return tail
}

// approve is the fake approval service: it approves workers of rack-1 only.
func (sm *simulation) approve(f chuteaction.RequestApproval) chuteaction.StepApproved {
	approved := chuteaction.StepApproved{Step: f.Step, Workers: f.Workers, Outcome: chuteaction.ApprovalAnswered, Validity: 3 * time.Second, Tickets: make(map[chutetask.WorkerID]string)}
	for _, id := range f.Workers {
		if sm.workers[string(id)].listing.Rack == "rack-1" {
			approved.Tickets[id] = "ticket-" + string(id)
		}
	}
	return approved
}

// maintain takes a machine down for two seconds; its worker restarts afterwards.
func (sm *simulation) maintain(f chuteaction.MaintainMachine) chuteaction.MachineMaintained {
	k := sm.workers[f.Machine[len("m-"):]]
	down := 0
	for _, name := range sm.workerNames() {
		if sm.workers[name].dead {
			down++
		}
	}
	if down >= 2 {
		sm.reportViolation("machine %s goes down while %d others are down", f.Machine, down)
	}
	k.crash(time.Hour)
	sm.after(2*time.Second, k.restart)
	return chuteaction.MachineMaintained{Epoch: f.Epoch, Machine: f.Machine, Wave: f.Wave, Outcome: chuteaction.OrderAccepted}
}

func TestLongRunningTasksRestartUntilTheirJobIsCancelled(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 8)
	sm.run(3 * time.Second)
	step := chutegraph.Step{Count: 3, Request: taskStep(1).Request, LongRunning: true}
	j := sm.clients.submit("normal", 2*time.Second, step) // each run of a task ends without an order after 2 s
	sm.run(13 * time.Second)
	is.Equal(sm.runningTasks(j), 3)
	is.Equal(sm.phase(j), "running")
	sm.workerOf(j).restart()
	sm.run(4 * time.Second)
	is.Equal(sm.runningTasks(j), 3)
	sm.clients.cancel(j)
	sm.run(2 * time.Second)
	is.Equal(sm.runningTasks(j), 0)
	is.Equal(len(sm.violations), 0)
}

func TestScheduledJobStartsAtItsTimes(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 8)
	sm.run(3 * time.Second)
	due := sm.now.Add(4 * time.Second)
	j := sm.clients.submit("normal", time.Second)
	j.spec = chutegraph.Spec{Payload: "work", Steps: []chutegraph.Step{taskStep(1)}, Recurrence: chutegraph.Recurrence{
		Count: 3, Start: time.Duration(due.UnixNano()), Interval: 2 * time.Second,
	}}
	sm.run(4*time.Second - 100*time.Millisecond)
	is.Equal(len(j.startedAt), 0)
	sm.run(time.Second)
	is.Equal(len(j.startedAt), 1)
	sm.run(8 * time.Second)
	for k := range 3 {
		id := chutegraph.TaskID{StepID: chutegraph.StepID{Job: j.id, Occurrence: k}}
		late := j.startedAt[id].Sub(due.Add(time.Duration(k) * 2 * time.Second))
		is.True(late >= 0 && late < 500*time.Millisecond)
	}
	is.Equal(sm.phase(j), "completed")
	sm.failOnViolations(t)
}

func TestApprovedWorkersOnly(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 12)
	catalog := testCatalog(2)
	catalog.Queues[1].Approval = &chutecatalog.Approval{DecisionTime: 100 * time.Millisecond, Validity: 3 * time.Second}
	sm.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "config"}, chuteaction.CatalogRow{Catalog: catalog})
	sm.run(3 * time.Second)
	j := sm.clients.submit("normal", 5*time.Second, chutegraph.Step{Count: 4, Request: taskStep(2).Request})
	sm.run(2 * time.Second)
	is.Equal(sm.runningTasks(j), 4)
	for _, k := range sm.workers {
		if k.listing.Rack != "rack-1" {
			is.Equal(len(k.runs), 0)
		}
	}
	sm.run(8 * time.Second)
	is.Equal(sm.phase(j), "completed")
	sm.failOnViolations(t)
}

func TestBestEffortTasksSlowDownForServingTasks(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 1)
	sm.run(3 * time.Second)
	serving := taskStep(1)
	serving.LongRunning, serving.TailLimit = true, 100*time.Millisecond
	bestEffort := taskStep(1)
	bestEffort.BestEffort = true
	s := sm.clients.submit("urgent", time.Hour, serving)
	b := sm.clients.submit("low", 30*time.Second, bestEffort)
	sm.run(2 * time.Second)
	is.Equal(sm.runningTasks(s)+sm.runningTasks(b), 2)
	sm.run(2 * time.Second) // less than the time for which the tail latency may exceed its limit
	k := sm.workers["worker-00"]
	for _, r := range k.runs {
		if r.step.TailLimit > 0 {
			is.True(k.tailLatency(r) <= 100)
		}
	}
	sm.failOnViolations(t)
}

func TestMaintenanceWaveCompletes(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 8)
	sm.run(3 * time.Second)
	j := sm.clients.submit("normal", 2*time.Second, chutegraph.Step{Count: 40, Request: taskStep(1).Request, Checkpointing: true})
	machines := []string{"m-worker-00", "m-worker-01", "m-worker-02", "m-worker-03", "m-worker-04"}
	sm.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "wave/7"}, chuteaction.WaveRow{Wave: 7, Machines: machines, MaxDown: 2})
	sm.run(25 * time.Second)
	for _, m := range machines {
		is.True(sm.workers[m[len("m-"):]].startedAt.After(time.Unix(1_800_000_000, 0))) // the worker was restarted
	}
	row := sm.store.rows[chuteaction.WaveKey(7)]
	is.Equal(row.Value, chuteaction.WaveStateRow{Wave: 7, Completed: true})
	is.Equal(sm.phase(j), "completed")
	sm.failOnViolations(t)
}

// TestAWaveStopsNoMoreTasksThatLastThanMayBeMissing guards against two machines of one wave that are drained at once.
func TestAWaveStopsNoMoreTasksThatLastThanMayBeMissing(t *testing.T) {
	sm := newSimulation(1, 3, 6)
	sm.run(3 * time.Second)
	j := sm.clients.submit("normal", time.Hour, lastingStep(4))
	sm.run(3 * time.Second)
	var machines []string
	for _, name := range sm.workerNames() {
		if len(sm.workers[name].runs) > 0 {
			machines = append(machines, "m-"+name)
		}
	}
	sm.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "wave/7"}, chuteaction.WaveRow{Wave: 7, Machines: machines, MaxDown: 2})
	fewest := 4
	for range 2000 {
		sm.run(10 * time.Millisecond)
		fewest = min(fewest, sm.runningTasks(j))
	}
	if fewest != 3 {
		t.Errorf("%d of 4 tasks run at the least, of which one may be missing", fewest)
	}
	if row := sm.store.rows[chuteaction.WaveKey(7)]; row.Value != (chuteaction.WaveStateRow{Wave: 7, Completed: true}) {
		t.Errorf("the wave is not completed: %v", row.Value)
	}
	sm.failOnViolations(t)
}

// TestNoMaintenanceBeginsByAnOldTableOfTheOperators guards against machines that go down while waves may have changed unseen.
func TestNoMaintenanceBeginsByAnOldTableOfTheOperators(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 6)
	sm.run(8 * time.Second)
	var machines []string
	for _, name := range sm.workerNames() {
		machines = append(machines, "m-"+name)
	}
	sm.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "wave/7"}, chuteaction.WaveRow{Wave: 7, Machines: machines, MaxDown: 1})
	sm.run(time.Second)
	leader := sm.leader()
	leader.silentTable = chuteaction.TableOperator
	sm.run(4 * time.Second)
	down := make(map[string]time.Time)
	for name, k := range sm.workers {
		down[name] = k.endedLastAt
	}
	sm.run(10 * time.Second)
	for name, k := range sm.workers {
		is.Equal(k.endedLastAt, down[name])
	}
	leader.silentTable = 0
	sm.run(40 * time.Second)
	is.Equal(sm.store.rows[chuteaction.WaveKey(7)].Value, chuteaction.WaveStateRow{Wave: 7, Completed: true})
	sm.failOnViolations(t)
}
