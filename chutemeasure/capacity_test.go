package chutemeasure

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chuteallocator"
	"monsoonchute.example/monsoonchute/chutecore"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chuteinventory"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chuteshard"
	"monsoonchute.example/monsoonchute/chutesimulation"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
	"monsoonchute.example/monsoonchute/chutewire"
	"monsoonchute.example/monsoonchute/chuteworker"
)

// workerCounts are the numbers of workers of a shard at which its costs are measured.
var workerCounts = []int{50, 500, 3500, 21000}

// wideTopology returns a topology of about the given number of workers with two accelerators each, as is expected in
// two years.
func wideTopology(workers int) chutetopology.Topology {
	racks := max(1, workers/2/25)
	return chutesimulation.Topology(2, racks, workers/2/racks, 2)
}

// filledView returns a view in which jobs hold nine tenths of the accelerators.
func filledView(topology chutetopology.Topology) chuteallocator.View {
	now := chutesimulation.StartTime()
	document := chutedocument.New()
	document.Workspaces = []chutedocument.Workspace{{Name: "w"}}
	inventory := chuteinventory.New(topology)
	for _, w := range topology.Workers() {
		inventory = inventory.WithUsable(w.ID, true)
	}
	view := chuteallocator.View{Now: now, Document: document, MaxGrants: 16}
	for i, w := range topology.Workers() {
		if i%10 == 0 {
			continue
		}
		j := chutejob.New(chutejob.ID(fmt.Sprint(i)), chutejob.Spec{
			Workspace: "w", Repeatable: true, Checkpoint: i%3 > 0, Shape: chutetopology.Shape{Parts: 1, Accelerators: 2, Within: chutetopology.LevelWorker},
		}, now)
		j = j.WithGrant(chutejob.PhaseReserved, []chutetopology.Block{{Worker: w.ID, Mask: 3}}, false, now).WithStartOrdered(now).WithRunning(now)
		inventory = inventory.WithHeld(j.Blocks(), j.Movable())
		view.Holding = append(view.Holding, j)
	}
	view.Inventory = inventory
	return view
}

// BenchmarkPlan measures a planning pass that places a small job and one that places a gang of 64 accelerators.
func BenchmarkPlan(b *testing.B) {
	shapes := []chutetopology.Shape{
		{Parts: 1, Accelerators: 1, Within: chutetopology.LevelWorker},
		{Parts: 32, Accelerators: 2, Within: chutetopology.LevelZone},
	}
	for _, workers := range workerCounts {
		view := filledView(wideTopology(workers))
		for _, shape := range shapes {
			b.Run(fmt.Sprintf("workers=%d/shape=%dx%d", workers, shape.Parts, shape.Accelerators), func(b *testing.B) {
				view.Waiting = []chutejob.Job{chutejob.New("new", chutejob.Spec{Workspace: "w", Checkpoint: true, Shape: shape}, view.Now)}
				b.ReportAllocs()
				for b.Loop() {
					chuteallocator.Plan(view)
				}
			})
		}
	}
}

// recoveredOwner returns the state of an owner that has recovered its shard and polled no worker yet, and the
// environment of the owner.
func recoveredOwner(topology chutetopology.Topology, now time.Time) (chuteshard.State, chutegang.Environment) {
	document := chutedocument.New()
	environment := chutegang.Environment{Now: now, BootID: "b", Document: document, Topology: topology, MayStart: true, StoreUp: true}
	state, effects := chuteshard.New(0, 1, 1, environment)
	for _, e := range effects {
		if read, ok := e.(chuteevent.ReadTable); ok {
			state = state.HandleTableEvent(environment, chuteevent.TableRead{Token: read.Token}).State
		}
	}
	return state, environment
}

// BenchmarkOwnerTick measures one tick of an idle owner of a shard, including the polls.
func BenchmarkOwnerTick(b *testing.B) {
	for _, workers := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			now := chutesimulation.StartTime()
			state, environment := recoveredOwner(wideTopology(workers), now)
			b.ReportAllocs()
			for b.Loop() {
				environment.Now = environment.Now.Add(100 * time.Millisecond)
				state = state.Tick(environment).State
			}
		})
	}
}

// BenchmarkOwnerReport measures the handling of one report of a worker.
func BenchmarkOwnerReport(b *testing.B) {
	for _, workers := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			topology := wideTopology(workers)
			state, environment := recoveredOwner(topology, chutesimulation.StartTime())
			report := chuteevent.WorkerPolled{Epoch: 1, Worker: topology.Workers()[0].ID, Lease: chuteorder.TaskLeaseDuration}
			b.ReportAllocs()
			for b.Loop() {
				environment.Now = environment.Now.Add(time.Millisecond)
				report.SentAt, report.ReceivedAt = environment.Now, environment.Now
				state = state.WorkerEvent(environment, report).State
			}
		})
	}
}

// BenchmarkMesh measures the encoding and decoding of one heartbeat and its answer, and reports their traffic.
func BenchmarkMesh(b *testing.B) {
	for _, hosts := range []int{8, 16, 50, 100} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			answer := chuteevent.HeartbeatAnswer{Sequence: 1 << 40, DocumentVersion: 1 << 20, DocumentAge: time.Second}
			for i := range 16 {
				answer.Loads = append(answer.Loads, chuteevent.BackendLoad{Backend: fmt.Sprintf("backend-server-%02d", i), Running: 3})
			}
			bytes := 0
			for b.Loop() {
				bytes = 0
				for _, m := range []chuteevent.PeerMessage{chuteevent.Heartbeat{Sequence: 1 << 40, DocumentVersion: 1 << 20}, answer} {
					encoded, err := chutewire.EncodeMessage(m)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := chutewire.DecodeMessage(encoded); err != nil {
						b.Fatal(err)
					}
					bytes += len(encoded)
				}
			}
			b.ReportMetric(float64(bytes*(hosts-1))/(float64(max(hosts-1, 8))/8), "bytes/s")
		})
	}
}

// BenchmarkRequest measures the steps of the core for one request: arrival, dispatch and response.
func BenchmarkRequest(b *testing.B) {
	for _, backends := range []int{5, 50, 500, 2000} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			now := chutesimulation.StartTime()
			state := chutecore.New(chutetable.HostRow{Host: "h", BootID: "b"}, 1)
			var hosts []chuteevent.PlatformHost
			for i := range backends {
				hosts = append(hosts, chuteevent.PlatformHost{ID: fmt.Sprint(i), Role: chuteevent.RoleBackend, Service: "s"})
			}
			state, _ = chutecore.Step(state, chuteevent.TimedEvent{At: now, Event: chuteevent.MembershipListed{Hosts: hosts}})
			b.ReportAllocs()
			id := chuteevent.ExchangeID(0)
			for b.Loop() {
				id++
				state = runExchange(b, state, now, id)
			}
		})
	}
}

func runExchange(b *testing.B, state chutecore.State, now time.Time, id chuteevent.ExchangeID) chutecore.State {
	request := chuteevent.Request{Exchange: id, ID: "r", Service: "s", Repeatable: true, Deadline: now.Add(time.Second)}
	state, effects := chutecore.Step(state, chuteevent.TimedEvent{At: now, Event: chuteevent.RequestArrived{Request: request}})
	dispatch, ok := effects[len(effects)-1].(chuteevent.Dispatch)
	if !ok {
		b.Fatalf("no dispatch: %v", effects)
	}
	state, _ = chutecore.Step(state, chuteevent.TimedEvent{At: now, Event: chuteevent.AttemptEnded{
		Exchange: id, Attempt: 1, Backend: dispatch.Backend, Elapsed: time.Millisecond, Result: chuteresult.Result{Code: chuteresult.Done},
	}})
	return state
}

// BenchmarkOwnerMemory reports the memory of the state of an owner, with its jobs, per worker.
func BenchmarkOwnerMemory(b *testing.B) {
	for _, workers := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			topology := wideTopology(workers)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			state, environment := recoveredOwner(topology, chutesimulation.StartTime())
			state = state.Tick(environment).State
			view := filledView(topology)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(topology.Workers())), "bytes/worker")
			runtime.KeepAlive(state)
			runtime.KeepAlive(view)
		})
	}
}

// BenchmarkPollBytes reports the size of a poll and its response for a worker with the given number of running tasks.
func BenchmarkPollBytes(b *testing.B) {
	for _, tasks := range []int{0, 2, 9, 32} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			response := chuteworker.PollResponse{Accepted: true, Report: chuteorder.Report{BootID: "1", Clock: time.Hour}}
			for i := range tasks {
				response.Report.Tasks = append(response.Report.Tasks, chuteorder.TaskReport{
					Task: chuteorder.TaskID{Job: "0000-6532c631-ce72-4d40-aa15-aceef8249d37", Attempt: 1, Part: i},
					Mask: 3, State: chuteorder.TaskRunning, SavedProgress: time.Hour,
				})
			}
			bytes := 0
			for b.Loop() {
				poll, err := json.Marshal(chuteorder.Poll{Lease: chuteorder.TaskLeaseDuration})
				if err != nil {
					b.Fatal(err)
				}
				encoded, err := json.Marshal(response)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(poll) + len(encoded)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}
