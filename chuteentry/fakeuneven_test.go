package chuteentry_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// workInterval is the interval at which runs on uneven workers advance.
	workInterval = 50 * time.Millisecond
	// restoreTime is how long a run takes to resume from a checkpoint.
	restoreTime = 200 * time.Millisecond
	// savePercent is the progress in percent after which the tasks of a checkpointing step save it again.
	savePercent = 10
)

// workUnevenly lets the runs of the simulation work at the speeds of their workers from now on: they report progress, save it, and
// resume from it. The members of a gang advance together, at the speed of the slowest worker.
func (sm *simulation) workUnevenly() {
	sm.uneven = true
	sm.advanceRuns()
}

func (sm *simulation) advanceRuns() {
	type gangRun struct {
		task string
		run  int
	}
	slowest := make(map[gangRun]float64)
	gangOf := func(r *fakeRun) gangRun { return gangRun{task: r.id.Task.StepID.String(), run: r.id.Number} }
	workers := sm.sortedWorkers()
	for _, k := range workers {
		for _, r := range k.runs {
			slowest[gangOf(r)] = max(slowest[gangOf(r)], k.slowdown, 1)
		}
	}
	for _, k := range workers {
		for _, r := range k.sortedRuns() {
			if r.ended || r.workFrom.IsZero() || sm.now.Before(r.workFrom) {
				continue
			}
			slowdown := max(k.slowdown, 1)
			if r.step.Gang {
				slowdown = slowest[gangOf(r)]
			}
			r.worked += time.Duration(float64(workInterval) / slowdown)
			if r.worked >= r.job.durationOf(r.id.Task.Step) {
				k.endRun(r, chutetask.EndDone)
			}
		}
	}
	sm.after(workInterval, sm.advanceRuns)
}

// workUnevenly begins the work of a run, which fails as often as the worker lets runs fail.
func (k *fakeWorker) workUnevenly(r *fakeRun) {
	if k.sim.chance(k.failRate) {
		k.sim.after(100*time.Millisecond, func() { k.endRun(r, chutetask.EndFailed) })
		return
	}
	r.workFrom = k.sim.now
	if saved, err := strconv.Atoi(r.resumed); err == nil {
		r.workFrom = k.sim.now.Add(restoreTime)
		r.worked = r.job.durationOf(r.id.Task.Step) * time.Duration(saved) / 100
	}
}

// unevenPercent returns the progress of a run on an uneven worker.
func (r *fakeRun) unevenPercent() int {
	return min(99, int(100*r.worked/r.job.durationOf(r.id.Task.Step)))
}

// checkpoint returns what the run of a checkpointing step has saved.
func (r *fakeRun) checkpoint() string {
	if saved := r.unevenPercent() / savePercent * savePercent; saved > 0 && r.step.Checkpointing {
		return strconv.Itoa(saved)
	}
	return r.resumed
}

// trafficStream submits so many jobs a second.
type trafficStream struct {
	rate      float64
	submitJob func()
}

// submit submits jobs until the end. They depend on the random source alone, so that they are the same whatever the scheduler does.
func (s trafficStream) submit(sm *simulation, random *rand.Rand, end time.Time) {
	sm.after(time.Duration(random.ExpFloat64()/s.rate*float64(time.Second)), func() {
		if !sm.now.Before(end) {
			return
		}
		others := sm.random
		sm.random = random
		s.submitJob()
		sm.random = others
		s.submit(sm, random, end)
	})
}

// unevenDay is how workers differ in a simulated day.
type unevenDay struct {
	name      string
	share     float64 // of the workers that differ
	slowdown  float64
	failRate  float64
	lasting   time.Duration
	flapping  time.Duration // time after which they differ or not in turn; 0 if they differ all the time
	crash     bool          // the leader crashes while they differ
	maxFailed int           // number of jobs that may fail for each seed
}

// outcome is what callers got on a day.
type outcome struct {
	jobs, onTime map[string]int // by queue
	failed       int            // jobs that failed since their attempts were used up
	starts       int
	moves        int // of gangs and tasks
}

// add adds the outcome of another day.
func (o *outcome) add(other outcome) {
	for queue, n := range other.jobs {
		o.jobs[queue] += n
		o.onTime[queue] += other.onTime[queue]
	}
	o.failed += other.failed
	o.starts += other.starts
	o.moves += other.moves
}

// share returns the share of the jobs of the queue that were on time.
func (o *outcome) share(queue string) float64 {
	return float64(o.onTime[queue]) / float64(max(1, o.jobs[queue]))
}

// newUnevenSimulation returns a simulation whose queues allow as many attempts as those of the platform.
func newUnevenSimulation(seed uint64) *simulation {
	sm := newSimulationOf(seed, 3, 48, tightMemory())
	catalog := testCatalog(2)
	for i, attempts := range []int{2, 4, 2} {
		catalog.Queues[i].Attempts = attempts
		catalog.Queues[i].Target = []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second}[i]
	}
	sm.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "config"}, chuteaction.CatalogRow{Catalog: catalog})
	sm.workUnevenly()
	sm.run(4 * time.Second)
	return sm
}

// play plays the day and returns its outcome.
func (d unevenDay) play(seed uint64, load float64) (*simulation, outcome) {
	sm := newUnevenSimulation(seed)
	d.playOn(sm, seed, load)
	return sm, sm.outcome()
}

// playOn plays the day on the simulation.
func (d unevenDay) playOn(sm *simulation, seed uint64, load float64) {
	rate := load / tightLoad
	for i, stream := range []trafficStream{{0.9 * rate, sm.submitLargeGang}, {2 * rate, sm.submitUrgentGang}, {0.89 * rate, sm.submitWideJob}} {
		stream.submit(sm, rand.New(rand.NewPCG(seed, uint64(i)+2)), sm.now.Add(34*time.Second))
	}
	var differing []*fakeWorker
	workers := sm.sortedWorkers()
	for _, i := range sm.random.Perm(len(workers))[:int(d.share*float64(len(workers)))] {
		differing = append(differing, workers[i])
	}
	set := func(slowdown, failRate float64) {
		for _, k := range differing {
			k.slowdown, k.failRate = slowdown, failRate
		}
	}
	sm.after(8*time.Second, func() { set(d.slowdown, d.failRate) })
	for at := d.flapping; d.flapping > 0 && at < d.lasting; at += 2 * d.flapping {
		sm.after(8*time.Second+at, func() { set(1, 0) })
		sm.after(8*time.Second+at+d.flapping, func() { set(d.slowdown, d.failRate) })
	}
	sm.after(8*time.Second+d.lasting, func() { set(1, 0) })
	if d.crash {
		sm.after(14*time.Second, func() { sm.crashHost(sm.leader().name) })
	}
	sm.run(75 * time.Second)
}

func (sm *simulation) outcome() outcome {
	o := outcome{jobs: make(map[string]int), onTime: make(map[string]int)}
	o.moves = strings.Count(sm.logLinesWith("work leaves a slow worker"), "work leaves")
	queues := testCatalog(1)
	targets := map[string]time.Duration{"urgent": 300 * time.Millisecond, "normal": time.Second, "low": 3 * time.Second}
	for _, id := range sm.clients.jobIDs {
		j := sm.clients.jobs[id]
		q, _ := queues.Queue(j.queue)
		o.jobs[j.queue]++
		for _, n := range j.starts {
			o.starts += n
		}
		recorded, _ := sm.recorded(j)
		if recorded.Phase == chutetask.PhaseFailed {
			o.failed++
		}
		var last time.Time
		for _, at := range j.doneAt {
			if at.After(last) {
				last = at
			}
		}
		objective := time.Duration(q.Stretch*float64(j.duration)) + targets[j.queue]
		if recorded.Phase == chutetask.PhaseCompleted && last.Sub(j.acceptedAt) <= objective {
			o.onTime[j.queue]++
		}
	}
	return o
}
