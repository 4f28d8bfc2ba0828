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
	// ZoneOutStartBound is the longest time after a document that takes a zone out is accepted in which tasks may still
	// start there: the longest age of a document in use, the validity of an order, and the time to write the document.
	ZoneOutStartBound = 4 * time.Second
	// LimitBound is the longest time after a document that lowers a limit is accepted in which starts may still follow the
	// limit before it, for the same reasons.
	LimitBound = ZoneOutStartBound
	// PartialRunBound is the longest time for which some parts of an attempt may run without the others: the time after
	// which a silent worker counts as lost, one poll, and the expiry of the lost worker's leases on its own clock.
	PartialRunBound = 6*time.Second + 2*time.Second + 21*time.Second + 3*time.Second
)

// checkStart reports a violation if a worker in a zone that is out starts a task after the bound.
func (s *Simulation) checkStart(w *Worker, e chuteevent.SendOrder) {
	if _, isStart := e.Order.(chuteorder.StartTask); !isStart {
		return
	}
	for version := len(s.documents); version >= 1; version-- {
		document := s.documents[version-1]
		if !document.ZoneOut(w.Info.Zone) {
			return
		}
		if s.Now.Sub(s.acceptedAt[version-1]) > ZoneOutStartBound {
			s.ReportViolation("task %s starts in zone %s, which has been out since version %d", chuteorder.TaskOf(e.Order), w.Info.Zone, version)
			return
		}
	}
}

// checkLimit reports a violation if a start raises what a workspace runs on all workers above its limit.
func (s *Simulation) checkLimit(e chuteevent.SendOrder) {
	start, isStart := e.Order.(chuteorder.StartTask)
	workspace := s.workspaces[start.Task.Job]
	limit := s.highestLimit(workspace)
	if !isStart || limit == 0 {
		return
	}
	use := 0
	for _, w := range s.Workers {
		for task, mask := range w.Agent.Running(s.Now) {
			if s.workspaces[task.Job] == workspace {
				use += mask.Count()
			}
		}
	}
	if use > limit {
		s.ReportViolation("the start of task %s makes workspace %s run %d accelerators, its limit is %d", start.Task, workspace, use, limit)
	}
}

// highestLimit returns the highest limit of the workspace among the documents that may be in force, and 0 if one of them
// has none.
func (s *Simulation) highestLimit(workspace string) int {
	highest := 0
	for i := len(s.documents) - 1; i >= 0; i-- {
		w, _ := s.documents[i].Workspace(workspace)
		if w.Limit.Accelerators == 0 {
			return 0
		}
		highest = max(highest, w.Limit.Accelerators)
		if s.Now.Sub(s.acceptedAt[i]) > LimitBound {
			return highest
		}
	}
	return 0
}

// PartialRuns holds, by attempt, the time since which some but not all of its parts have run.
type PartialRuns map[attemptID]time.Time

type attemptID struct {
	job     chutejob.ID
	attempt int
}

// Check reports a violation if parts of an attempt have run without the others for longer than PartialRunBound. The
// function parts returns the number of parts of a job. Parts that have ended well count as not running.
func (p PartialRuns) Check(s *Simulation, parts func(chutejob.ID) int) {
	running := make(map[attemptID]int)
	for _, w := range s.Workers {
		for task := range w.Agent.Running(s.Now) {
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
			p[id] = s.Now
		} else if s.Now.Sub(since) > PartialRunBound {
			s.ReportViolation("%d of %d parts of job %s attempt %d have run without the others for %s", n, parts(id.job), id.job, id.attempt, s.Now.Sub(since))
		}
	}
}

// CheckInventories reports a violation if the inventory of a shard breaks an invariant or two of its jobs hold the same
// accelerator.
func (s *Simulation) CheckInventories() {
	for _, h := range s.Hosts {
		if !h.alive {
			continue
		}
		for _, number := range h.State.Shards() {
			shard, _ := h.State.Shard(number)
			if err := shard.Inventory().Check(); err != nil {
				s.ReportViolation("host %s, inventory of shard %d: %v", h.ID, number, err)
			}
			s.checkOverlaps(shard)
		}
	}
}

func (s *Simulation) checkOverlaps(shard chuteshard.State) {
	held := make(map[chutetopology.WorkerID]chutetopology.Mask)
	for _, j := range shard.Live() {
		if !j.HoldsAccelerators() {
			continue
		}
		for _, b := range j.Blocks() {
			if held[b.Worker]&b.Mask != 0 {
				s.ReportViolation("shard %d: accelerators of worker %s are held by job %s and by another job", shard.Shard(), b.Worker, j.ID)
			}
			held[b.Worker] |= b.Mask
		}
	}
}

// StartedAttempts returns, by job, the numbers of the attempts of which at least one part was started. It reports a
// violation if a task was started more than once.
func (s *Simulation) StartedAttempts() map[chutejob.ID]map[int]bool {
	attempts := make(map[chutejob.ID]map[int]bool)
	for _, w := range s.Workers {
		for task, starts := range w.Agent.Starts() {
			if starts > 1 {
				s.ReportViolation("task %s started %d times", task, starts)
			}
			if attempts[task.Job] == nil {
				attempts[task.Job] = make(map[int]bool)
			}
			attempts[task.Job][task.Attempt] = true
		}
	}
	return attempts
}

// CheckResults reports a violation if the result of a job contradicts the starts on the workers.
func (s *Simulation) CheckResults(jobs []chutejob.Job) {
	attempts := s.StartedAttempts()
	for _, j := range jobs {
		started := len(attempts[j.ID])
		switch {
		case !j.Spec.Restartable() && started > 1:
			s.ReportViolation("job %s must not run twice and was started in %d attempts", j.ID, started)
		case j.Result.Code == chuteresult.Cancelled && started > 0:
			s.ReportViolation("job %s has the result cancelled before its start, but was started", j.ID)
		case j.Result.Code == chuteresult.Done && started == 0:
			s.ReportViolation("job %s has the result done, but was never started", j.ID)
		}
	}
}

// Jobs returns the jobs of all shards from the states of their owners.
func (s *Simulation) Jobs() []chutejob.Job {
	var jobs []chutejob.Job
	for _, h := range s.Hosts {
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

// Topology returns zones of racks of workers with the given numbers; all workers have the same number of accelerators
// and are named by zone, rack and number.
func Topology(zones, racks, workers, accelerators int) chutetopology.Topology {
	var all []chutetopology.Worker
	for z := range zones {
		for k := range racks {
			for w := range workers {
				zone := "zone-" + string(rune('a'+z))
				rack := zone + "-rack-" + threeDigits(k)
				all = append(all, chutetopology.Worker{
					ID: chutetopology.WorkerID(rack + "-worker-" + threeDigits(w)), Zone: chutetopology.ZoneID(zone),
					Rack: chutetopology.RackID(rack), Accelerators: accelerators,
				})
			}
		}
	}
	return chutetopology.New(all)
}

func threeDigits(n int) string {
	return string([]byte{byte('0' + n/100%10), byte('0' + n/10%10), byte('0' + n%10)})
}
