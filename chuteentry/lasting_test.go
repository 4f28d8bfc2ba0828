package chuteentry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chutetask"
)

// tail returns what a worker reports of a serving task: its tail in milliseconds, longer the more fills beside it.
func (k *fakeWorker) tail(r *fakeRun) int {
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

// approve answers for the approval service: only workers of rack-1 may run anything.
func (w *world) approve(f chuteaction.RequestApproval) chuteaction.StepApproved {
	approved := chuteaction.StepApproved{Step: f.Step, Workers: f.Workers, Answered: true, Validity: 3 * time.Second, Tickets: make(map[chutetask.WorkerID]string)}
	for _, id := range f.Workers {
		if w.workers[string(id)].listing.Rack == "rack-1" {
			approved.Tickets[id] = "ticket-" + string(id)
		}
	}
	return approved
}

// machineList lists a machine for each worker, of the same name.
func (w *world) machineList() []chutemaintenance.Machine {
	var machines []chutemaintenance.Machine
	for _, name := range w.workerNames() {
		m := chutemaintenance.Machine{ID: "m-" + name, State: chutemaintenance.MachineUp, Worker: chutetask.WorkerID(name)}
		if w.workers[name].dead {
			m.State = chutemaintenance.MachineMaintained
		}
		machines = append(machines, m)
	}
	return machines
}

// maintain takes a machine down for two seconds; its worker was restarted then.
func (w *world) maintain(f chuteaction.MaintainMachine) chuteaction.MachineMaintained {
	k := w.workers[f.Machine[len("m-"):]]
	down := 0
	for _, name := range w.workerNames() {
		if w.workers[name].dead {
			down++
		}
	}
	if down >= 2 {
		w.broken("machine %s goes down while %d are", f.Machine, down)
	}
	k.die(time.Hour)
	w.after(2*time.Second, k.restart)
	return chuteaction.MachineMaintained{Epoch: f.Epoch, Machine: f.Machine, Wave: f.Wave, Outcome: chuteaction.OrderAccepted}
}

func TestLastingTasksAreStartedAgainUntilTheirJobIsCancelled(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 8)
	w.run(3 * time.Second)
	step := chutegraph.Step{Count: 3, Request: oneTask(1).Request, LongRunning: true}
	j := w.clients.submit("normal", 2*time.Second, step) // each run of a task ends by itself after 2 s
	w.run(13 * time.Second)
	is.Equal(w.running(j), 3)
	is.Equal(w.phase(j), "running")
	w.workerOf(j).restart()
	w.run(4 * time.Second)
	is.Equal(w.running(j), 3)
	w.clients.cancel(j)
	w.run(2 * time.Second)
	is.Equal(w.running(j), 0)
	is.Equal(len(w.faults), 0)
}

func TestScheduledJobStartsAtItsTimes(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 8)
	w.run(3 * time.Second)
	due := w.now.Add(4 * time.Second)
	j := w.clients.submit("normal", time.Second)
	j.spec = chutegraph.Spec{Payload: "work", Steps: []chutegraph.Step{oneTask(1)}, Recurrence: chutegraph.Recurrence{
		Count: 3, Start: time.Duration(due.UnixNano()), Interval: 2 * time.Second,
	}}
	w.run(4*time.Second - 100*time.Millisecond)
	is.Equal(len(j.started), 0)
	w.run(time.Second)
	is.Equal(len(j.started), 1)
	w.run(8 * time.Second)
	for k := range 3 {
		id := chutegraph.TaskID{StepID: chutegraph.StepID{Job: j.id, Occurrence: k}}
		late := j.started[id].Sub(due.Add(time.Duration(k) * 2 * time.Second))
		is.True(late >= 0 && late < 500*time.Millisecond)
	}
	is.Equal(w.phase(j), "completed")
	w.check(t)
}

func TestApprovedWorkersOnly(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 12)
	catalog := testCatalog(2)
	catalog.Queues[1].Approval = &chutecatalog.Approval{DecisionTime: 100 * time.Millisecond, Validity: 3 * time.Second}
	w.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "config"}, chuteaction.CatalogRow{Catalog: catalog})
	w.run(3 * time.Second)
	j := w.clients.submit("normal", 5*time.Second, chutegraph.Step{Count: 4, Request: oneTask(2).Request})
	w.run(2 * time.Second)
	is.Equal(w.running(j), 4)
	for _, k := range w.workers {
		if k.listing.Rack != "rack-1" {
			is.Equal(len(k.runs), 0)
		}
	}
	w.run(8 * time.Second)
	is.Equal(w.phase(j), "completed")
	w.check(t)
}

func TestFillingTasksGiveWayToServingOnes(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 1)
	w.run(3 * time.Second)
	serving := oneTask(1)
	serving.LongRunning, serving.TailLimit = true, 100*time.Millisecond
	filling := oneTask(1)
	filling.BestEffort = true
	s := w.clients.submit("urgent", time.Hour, serving)
	f := w.clients.submit("low", 30*time.Second, filling)
	w.run(2 * time.Second)
	is.Equal(w.running(s)+w.running(f), 2)
	w.run(2 * time.Second) // less than the time for which the tail may be over its limit
	k := w.workers["worker-00"]
	for _, r := range k.runs {
		if r.step.TailLimit > 0 {
			is.True(k.tail(r) <= 100)
		}
	}
	w.check(t)
}

func TestWaveOfMaintenance(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 8)
	w.run(3 * time.Second)
	j := w.clients.submit("normal", 2*time.Second, chutegraph.Step{Count: 40, Request: oneTask(1).Request, Checkpointing: true})
	machines := []string{"m-worker-00", "m-worker-01", "m-worker-02", "m-worker-03", "m-worker-04"}
	w.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "wave/7"}, chuteaction.WaveRow{Wave: 7, Machines: machines, MaxDown: 2})
	w.run(25 * time.Second)
	for _, m := range machines {
		is.True(w.workers[m[len("m-"):]].born.After(time.Unix(1_800_000_000, 0))) // it was down
	}
	row := w.store.rows[chuteaction.WaveKey(7)]
	is.Equal(row.Value, chuteaction.WaveStateRow{Wave: 7, Completed: true})
	is.Equal(w.phase(j), "completed")
	w.check(t)
}
