package chuteentry_test

import (
	"math"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// fleet is what the workers of a simulation are like.
type fleet struct {
	rack     int // workers in each rack
	zones    int
	capacity chutecapacity.Resources
	lease    time.Duration
}

// tightMemory is a fleet of which each worker has memory for only one task of a large gang.
func tightMemory() fleet {
	return fleet{rack: 6, zones: 4, capacity: chutecapacity.Resources{Processor: 64000, Memory: 131072, Accelerators: 8}, lease: 10 * time.Second}
}

// newTightSimulation returns nine hosts and 48 workers with tight memory, once they have a leader.
func newTightSimulation(seed uint64) *simulation {
	sm := newSimulationOf(seed, 9, 48, tightMemory())
	sm.machineService.available = true
	catalog := testCatalog(2)
	catalog.Workspaces[0].GuaranteedAccelerators = 200
	sm.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "config"}, chuteaction.CatalogRow{Catalog: catalog})
	sm.run(4 * time.Second)
	sm.calmFrom = sm.now
	return sm
}

// spread returns a random number around the mean, at least 1 and at most the limit.
func (sm *simulation) spread(mean, deviation, limit float64) float64 {
	return max(1, min(limit, mean*math.Exp(sm.random.NormFloat64()*deviation-deviation*deviation/2)))
}

// tightLoad is the share of the accelerators that the mixed traffic uses at its full rate.
const tightLoad = 0.69

// submitMixedTraffic submits gangs whose tasks take half of a worker's memory, urgent gangs and wide jobs for the time, with the
// load as a share of the accelerators.
func (sm *simulation) submitMixedTraffic(load float64, d time.Duration) {
	end := sm.now.Add(d)
	rate := load / tightLoad
	sm.submitSteadily(0.9*rate, end, sm.submitLargeGang)
	sm.submitSteadily(2*rate, end, sm.submitUrgentGang)
	sm.submitSteadily(0.89*rate, end, sm.submitWideJob)
}

// submitSteadily submits so many jobs a second until the end.
func (sm *simulation) submitSteadily(rate float64, end time.Time, submit func()) {
	sm.after(time.Duration(sm.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if sm.now.Before(end) {
			submit()
			sm.submitSteadily(rate, end, submit)
		}
	})
}

// submitStep submits a job of random width whose tasks take the time, about as estimated.
func (sm *simulation) submitStep(queue string, width, maxWidth float64, seconds, estimateError float64, step chutegraph.Step) {
	step.Count = int(math.Round(sm.spread(width, 0.8, maxWidth)))
	step.Estimate = time.Duration(seconds * sm.spread(10, estimateError, 100) / 10 * float64(time.Second))
	sm.clients.submit(queue, time.Duration(seconds*float64(time.Second)), step)
}

func (sm *simulation) randomAccelerators() int {
	return []int{1, 2, 4, 8, 8}[sm.random.IntN(5)]
}

func (sm *simulation) submitLargeGang() {
	step := chutegraph.Step{
		Request: chutecapacity.Resources{Processor: 26000, Memory: 68000, Accelerators: sm.randomAccelerators()},
		Gang:    true, SameRack: sm.chance(0.6), Checkpointing: sm.chance(0.45),
	}
	if sm.chance(0.3) {
		step.Label = "a"
	}
	sm.submitStep("normal", 4, 24, sm.spread(6.8, 0.3, 11), 0.2, step)
}

func (sm *simulation) submitUrgentGang() {
	sm.submitStep("urgent", 3, 18, sm.spread(2.5, 0.5, 8), 0.9, chutegraph.Step{
		Request: chutecapacity.Resources{Processor: 7500, Memory: 20000, Accelerators: sm.randomAccelerators()}, Gang: true, SameRack: sm.chance(0.8),
	})
}

func (sm *simulation) submitWideJob() {
	step := chutegraph.Step{
		Request: chutecapacity.Resources{Processor: 5600, Memory: 15000, Accelerators: 1}, Checkpointing: sm.chance(0.45),
	}
	if sm.chance(0.12) {
		step.AntiAffinity = 2
	}
	sm.submitStep("low", 12, 72, sm.spread(6.1, 0.3, 11), 0.2, step)
}
