package chuteplanner_test

import (
	"fmt"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplanner"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// BenchmarkPass measures a planning pass with 350 workers that are full and 2,000 waiting tasks, whose queues state objectives or not.
func BenchmarkPass(b *testing.B) {
	for _, objectives := range []bool{false, true} {
		b.Run(fmt.Sprintf("objectives=%v", objectives), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			state, environment := fullFleet(now, objectives)
			now = now.Add(4 * time.Second)
			state.List = chutefreshness.New(now, 0)
			for b.Loop() {
				t := chuterunner.NewTransition(chuteaction.NewTransition(now, 0), state, environment)
				t.PlanDue = true
				chuteplanner.New().Plan(t)
			}
		})
	}
}

// fullFleet returns 350 workers on which tasks of low priority run, and jobs of three priorities with 2,000 waiting tasks.
func fullFleet(now time.Time, objectives bool) (chuteledger.State, chuteledger.Environment) {
	state := chuteledger.New(1, chuteledger.Bounds{}, now)
	var environment chuteledger.Environment
	for priority, name := range []string{"urgent", "middle", "low"} {
		environment.Catalog.Queues = append(environment.Catalog.Queues, chutecatalog.Queue{Name: name, Service: "service", Priority: priority})
	}
	task := chutecapacity.Resources{Processor: 8000, Memory: 8000, Accelerators: 1}
	running := job(350*8, 2, chutegraph.Step{Count: 350 * 8, Request: task}, objectives, now)
	for i := range 350 {
		w := chutepool.NewWorker(chutepool.Listing{
			ID: chutetask.WorkerID(fmt.Sprintf("w%03d", i)), Service: "service", Rack: fmt.Sprintf("r%d", i/20), Capacity: task.Times(8),
		}, now)
		w.Contacted = true
		for k := range 8 {
			id := chutegraph.TaskID{StepID: chutegraph.StepID{Job: running.ID}, Index: 8*i + k}
			t, _ := running.Task(id)
			running = running.WithTask(id, t.WithRun(1, w.ID))
			w = w.WithRun(chutepool.Run{ID: chutegraph.RunID{Task: id, Number: 1}, Reserved: task, Priority: 2}.WithPhase(chutepool.RunStarted, now))
		}
		state.Pool = state.Pool.With(w)
	}
	state.Live = state.Live.Set(running.ID, running)
	for n := range 200 {
		step := chutegraph.Step{Count: 10, Request: task, Gang: n%3 < 2, SameRack: n%5 < 4}
		step.Request.Accelerators = 1 << (n % 4)
		j := job(n, n%3, step, objectives, now)
		state.Live = state.Live.Set(j.ID, j)
	}
	return state, environment
}

func job(number, priority int, step chutegraph.Step, objectives bool, now time.Time) chutetask.Job {
	step.Estimate = 5 * time.Second
	submission := chutetask.Submission{
		ID: chutegraph.JobID(fmt.Sprintf("%016x", number)), Queue: []string{"urgent", "middle", "low"}[priority], Service: "service", Priority: priority,
		Spec: chutegraph.Spec{Steps: []chutegraph.Step{step}},
	}
	if objectives {
		submission.Stretch, submission.Target = 3, time.Second
	}
	return chutetask.New(submission, int64(number), now).WithOccurrenceBegun(0)
}
