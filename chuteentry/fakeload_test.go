package chuteentry_test

import (
	"fmt"
	"math"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// heavyLoad is a load of the three queues on 48 workers, as a customer's, with a burst.
type heavyLoad struct {
	memory int     // of each worker, in MB; a middle task takes 68,000
	load   float64 // number of times that the arriving work needs the accelerators
	slow   bool    // 30% of the workers are five times slower for 14 s
}

const (
	arrivalTime = 20 * time.Second // during which jobs arrive
	drainTime   = 40 * time.Second // during which the rest is worked off
	lateShare   = 0.25             // of a job's value that is left once its objective has passed
	tailShare   = 0.03             // of the middle jobs that take tailFactor times their estimate
	tailFactor  = 7
)

// loadQueues are the queues of the load with their objectives, or without for the order that applies then.
func loadQueues(objectives bool) []chutecatalog.Queue {
	queues := testCatalog(1).Queues
	for i, target := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		queues[i].Target = target
		if !objectives {
			queues[i].Stretch, queues[i].Target = 0, 0
		}
	}
	return queues
}

// outcome is what a load has earned.
type outcome struct {
	earned, possible map[string]float64 // value of the work by queue
	discarded        float64            // core-seconds
	evicted          int                // runs that were stopped for others
	idle             int                // jobs that stood beside capacity for them twice over for longer than allowed
}

// share returns the part of the possible value of the queue that was earned.
func (o outcome) share(queue string) float64 {
	if o.possible[queue] == 0 {
		return 1
	}
	return o.earned[queue] / o.possible[queue]
}

// value returns the earned value in units of one where each queue is worth urgent 4, middle 3 and low 1.
func (o outcome) value() float64 {
	return (4*o.share("urgent") + 3*o.share("normal") + o.share("low")) / 8
}

func (o outcome) plus(other outcome) outcome {
	sum := outcome{
		earned: make(map[string]float64), possible: make(map[string]float64), discarded: o.discarded + other.discarded, evicted: o.evicted + other.evicted,
		idle: o.idle + other.idle,
	}
	for _, part := range []outcome{o, other} {
		for queue := range part.possible {
			sum.earned[queue] += part.earned[queue]
			sum.possible[queue] += part.possible[queue]
		}
	}
	return sum
}

func (o outcome) String() string {
	return fmt.Sprintf("urgent %.2f middle %.2f low %.2f value %.3f, %6.0f core-seconds discarded, %4d evicted, %d idle",
		o.share("urgent"), o.share("normal"), o.share("low"), o.value(), o.discarded, o.evicted, o.idle)
}

// play plays the load, with the objectives of the queues or without.
func (l heavyLoad) play(seed uint64, objectives bool) outcome {
	fleet := tightMemory()
	fleet.capacity.Memory = l.memory
	sm := newSimulationOf(seed, 3, 48, fleet)
	sm.machineService.available = true
	sm.followWork()
	catalog := testCatalog(2)
	catalog.Queues = loadQueues(objectives)
	catalog.Workspaces[0].GuaranteedAccelerators = 48
	sm.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "config"}, chuteaction.CatalogRow{Catalog: catalog})
	sm.run(4 * time.Second)
	sm.calmFrom = sm.now
	end := sm.now.Add(arrivalTime)
	rate := l.load / tightLoad
	sm.submitSteadily(0.9*rate, end, sm.submitHeavyGang)
	sm.submitSteadily(2*rate, end, sm.submitUrgentGang)
	sm.submitSteadily(0.89*rate, end, sm.submitWideJob)
	if l.slow {
		sm.after(3*time.Second, func() { sm.slowDown(0.3, 5, 14*time.Second) })
	}
	make(idleTasks).watch(sm)
	sm.run(arrivalTime + drainTime)
	return sm.outcome()
}

// submitHeavyGang submits a gang of the middle queue, of which some take far longer than their estimate.
func (sm *simulation) submitHeavyGang() {
	step := chutegraph.Step{
		Request: chutecapacity.Resources{Processor: 26000, Memory: 68000, Accelerators: sm.randomAccelerators()},
		Gang:    true, SameRack: sm.chance(0.6), Checkpointing: sm.chance(0.45),
	}
	step.Count = int(math.Round(sm.spread(4, 0.8, 24)))
	seconds := sm.spread(6.8, 0.3, 11)
	step.Estimate = time.Duration(seconds * float64(time.Second))
	if sm.chance(tailShare) {
		seconds *= tailFactor
	}
	sm.clients.submit("normal", time.Duration(seconds*float64(time.Second)), step)
}

// outcome returns what the jobs so far have earned. The value of a job is proportional to its work.
func (sm *simulation) outcome() outcome {
	o := outcome{earned: make(map[string]float64), possible: make(map[string]float64), discarded: sm.discarded}
	objectives := make(map[string]chutecatalog.Queue)
	for _, q := range loadQueues(true) {
		objectives[q.Name] = q
	}
	for _, id := range sm.clients.jobIDs {
		j := sm.clients.jobs[id]
		q := objectives[j.queue]
		objective := time.Duration(q.Stretch*float64(j.duration)) + q.Target
		work := j.spec.Steps[0].Request.Cores() * float64(j.spec.Steps[0].Count) * j.duration.Seconds()
		o.possible[j.queue] += work
		o.earned[j.queue] += work * j.earnedShare(objective)
	}
	o.evicted, o.idle = len(sm.logLinesOf("run yields")), len(sm.violations)
	return o
}

// earnedShare returns the share of its value that the job has earned.
func (j *fakeJob) earnedShare(objective time.Duration) float64 {
	if len(j.doneAt) < j.spec.Steps[0].Count {
		return 0
	}
	var took time.Duration
	for _, at := range j.doneAt {
		took = max(took, at.Sub(j.submittedAt))
	}
	switch {
	case took <= objective:
		return 1
	case took <= 3*objective:
		return lateShare
	}
	return 0
}
