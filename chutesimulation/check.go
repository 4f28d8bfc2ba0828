package chutesimulation

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chuteshard"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// ZoneOutBound is the time after the acceptance of a zone out past which no task starts there: the freshness of a
	// document plus the validity of an order, and the time that the acceptance takes to be written.
	ZoneOutBound = 4 * time.Second
	// PartialBound is the longest time that some parts of an attempt run while others do not: silence of a worker, one
	// poll, and the lapse of the lost worker's leases on its own clock.
	PartialBound = 6*time.Second + 2*time.Second + 21*time.Second + 3*time.Second
)

// noteStart checks a start that a worker carried out.
func (r *Simulation) noteStart(w *Worker, e chuteevent.SendOrder) {
	if _, isStart := e.Order.(chuteorder.StartTask); !isStart {
		return
	}
	for version := len(r.accepted); version >= 1; version-- {
		document := r.accepted[version-1]
		if !document.ZoneOut(w.Info.Zone) {
			return
		}
		if r.Now.Sub(r.times[version-1]) > ZoneOutBound {
			r.Fail("task %s starts in zone %s, which has been out since version %d", chuteorder.TaskOf(e.Order), w.Info.Zone, version)
			return
		}
	}
}

// Partial keeps since when some parts of each attempt have run without the others.
type Partial map[attemptID]time.Time

type attemptID struct {
	job     chutejob.ID
	attempt int
}

// Check notes a failure if parts of an attempt have run without the rest for longer than the bound. Attempts with a
// part that ended well are left out: their parts need not end together.
func (p Partial) Check(r *Simulation, parts func(chutejob.ID) int) {
	running := make(map[attemptID]int)
	for _, w := range r.Workers {
		for task := range w.Agent.Running(r.Now) {
			running[attemptID{task.Job, task.Attempt}]++
		}
	}
	for id := range p {
		if running[id] == 0 {
			delete(p, id)
		}
	}
	for id, n := range running {
		if n >= parts(id.job) {
			delete(p, id)
			continue
		}
		if since, known := p[id]; !known {
			p[id] = r.Now
		} else if r.Now.Sub(since) > PartialBound {
			r.Fail("%d of %d parts of job %s attempt %d have run alone for %s", n, parts(id.job), id.job, id.attempt, r.Now.Sub(since))
		}
	}
}

// CheckBooks notes a failure if a shard's book breaks an invariant or two of its jobs hold the same accelerator.
func (r *Simulation) CheckBooks() {
	for _, h := range r.Hosts {
		if !h.alive {
			continue
		}
		for _, number := range h.State.Shards() {
			shard, _ := h.State.Shard(number)
			if err := shard.Inventory().Check(); err != nil {
				r.Fail("%s shard %d: %v", h.ID, number, err)
			}
			r.checkHoldings(shard)
		}
	}
}

func (r *Simulation) checkHoldings(shard chuteshard.State) {
	held := make(map[chutetopology.WorkerID]chutetopology.Mask)
	for _, j := range shard.Live() {
		if !j.HoldsAccelerators() {
			continue
		}
		for _, b := range j.Blocks() {
			if held[b.Worker]&b.Mask != 0 {
				r.Fail("shard %d: worker %s has accelerators held twice, by job %s too", shard.Shard(), b.Worker, j.ID)
			}
			held[b.Worker] |= b.Mask
		}
	}
}

// Attempts returns the attempts of each job of which some part was started.
func (r *Simulation) Attempts() map[chutejob.ID]map[int]bool {
	attempts := make(map[chutejob.ID]map[int]bool)
	for _, w := range r.Workers {
		for task, times := range w.Agent.Starts() {
			if times > 1 {
				r.Fail("task %s started %d times", task, times)
			}
			if attempts[task.Job] == nil {
				attempts[task.Job] = make(map[int]bool)
			}
			attempts[task.Job][task.Attempt] = true
		}
	}
	return attempts
}

// CheckEnds notes a failure if a job's end contradicts what the workers did.
func (r *Simulation) CheckEnds(jobs []chutejob.Job) {
	attempts := r.Attempts()
	for _, j := range jobs {
		started := len(attempts[j.ID])
		switch {
		case !j.Spec.Restartable() && started > 1:
			r.Fail("job %s must not run twice and was started in %d attempts", j.ID, started)
		case j.Result.Code == chuteresult.Cancelled && started > 0:
			r.Fail("job %s counts as cancelled before its start and was started", j.ID)
		case j.Result.Code == chuteresult.Done && started == 0:
			r.Fail("job %s counts as done and was never started", j.ID)
		}
	}
}

// Jobs returns the jobs of all shards as their owners know them.
func (r *Simulation) Jobs() []chutejob.Job {
	var jobs []chutejob.Job
	for _, h := range r.Hosts {
		if !h.alive {
			continue
		}
		for _, number := range h.State.Shards() {
			shard, _ := h.State.Shard(number)
			jobs = append(append(jobs, shard.Live()...), shard.Ended()...)
		}
	}
	return jobs
}

// Topology returns workers named by zone, rack and number, all alike.
func Topology(zones, racks, workers, accelerators int) chutetopology.Topology {
	var all []chutetopology.Worker
	for z := range zones {
		for k := range racks {
			for w := range workers {
				zone := "zone-" + string(rune('a'+z))
				rack := zone + "-rack-" + number(k)
				all = append(all, chutetopology.Worker{
					ID: chutetopology.WorkerID(rack + "-worker-" + number(w)), Zone: chutetopology.ZoneID(zone),
					Rack: chutetopology.RackID(rack), Accelerators: accelerators,
				})
			}
		}
	}
	return chutetopology.New(all)
}

func number(n int) string {
	return string([]byte{byte('0' + n/100%10), byte('0' + n/10%10), byte('0' + n%10)})
}
