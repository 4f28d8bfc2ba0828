package chutemeasure

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chuteshard"
	"monsoonchute.example/monsoonchute/chutesimulation"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// replayTick is the time between two ticks of the core in a replay.
	replayTick = 250 * time.Millisecond
	// sampleInterval is the time between two samples of the state of a replay.
	sampleInterval = time.Second
	// fragmentationSamples is the number of samples, and of seconds, between two measurements of fragmentation.
	fragmentationSamples = 10
	// warmUp is the time before a trace begins in which the entry host takes over its shard.
	warmUp = 12 * time.Second
	// maxOvertime is the longest time that a replay may continue after the submission period of its trace.
	maxOvertime = 24 * time.Hour
	// largeGangSize is the smallest number of accelerators of a gang that counts as large.
	largeGangSize = 32
)

// attempt identifies one attempt of a job.
type attempt struct {
	job    chutejob.ID
	number int
}

// replay is the state of one replay through the core.
type replay struct {
	failing              map[chutejob.ID]bool // jobs that fail at their end, whose work does not count
	trace                Trace
	simulation           *chutesimulation.Simulation
	startedAt            time.Time
	result               Result
	samples              int
	claimedAt            map[chutejob.ID]time.Time
	urgentStarted        map[chutejob.ID]bool
	workBeforeZoneChange float64                   // useful accelerator-seconds at the start of the zone window
	initialProgress      map[attempt]time.Duration // progress at the start of each attempt
	withoutCapacity      map[chutejob.ID]bool      // urgent jobs that lacked capacity before their first attempt
	runTimes             map[chutejob.ID]time.Duration
}

// Replay replays the trace through the core of one entry host in virtual time; the seed determines the message delays.
func Replay(trace Trace, seed uint64) Result {
	p := &replay{
		trace: trace, simulation: chutesimulation.New(1, trace.Topology, seed, chutesimulation.WithTick(replayTick)),
		claimedAt: make(map[chutejob.ID]time.Time), urgentStarted: make(map[chutejob.ID]bool),
		initialProgress: make(map[attempt]time.Duration), withoutCapacity: make(map[chutejob.ID]bool), runTimes: make(map[chutejob.ID]time.Duration),
		failing: make(map[chutejob.ID]bool),
	}
	p.simulation.Run(3 * time.Second)
	p.simulation.Call(0, chutecall.ApplyDocument{Change: trace.Change})
	p.simulation.Run(warmUp)
	p.startedAt = p.simulation.Now
	p.schedule()
	end := p.startedAt.Add(trace.Profile.Duration + maxOvertime)
	for p.simulation.Now.Before(end) && !p.completed() {
		p.simulation.Run(sampleInterval)
		p.sampleState()
	}
	p.recordCompletions()
	return p.result.finished()
}

// schedule schedules the submissions, cancellations, outages and zone changes of the trace, and the samples of the zone
// window.
func (p *replay) schedule() {
	for _, s := range p.trace.Submissions {
		id := chutejob.ID("0000-" + s.Spec.Name)
		p.runTimes[id], p.failing[id] = s.RunTime, s.Fails
		p.simulation.Schedule(s.SubmitAt, func() { p.simulation.Call(0, chutecall.SubmitJob{Job: chutejob.ID(s.Spec.Name), Spec: s.Spec}) })
		if s.CancelAt > s.SubmitAt {
			p.simulation.Schedule(s.CancelAt, func() { p.simulation.Call(0, chutecall.CancelJob{Job: id}) })
		}
	}
	for _, o := range p.trace.Outages {
		w := p.simulation.Workers[o.Worker]
		set := func(on bool) {
			if o.Faulty {
				w.Agent.SetFaulty(on)
			} else {
				w.Unreachable = on
			}
		}
		p.simulation.Schedule(o.From, func() { set(true) })
		p.simulation.Schedule(o.Until, func() { set(false) })
	}
	if p.trace.ZoneOutAt > 0 {
		p.simulation.Schedule(p.trace.ZoneOutAt, func() { p.setZone(true) })
		p.simulation.Schedule(p.trace.ZoneInAt, func() { p.setZone(false) })
	}
	from, until := zoneWindow(p.trace.Profile)
	p.simulation.Schedule(from, func() { p.workBeforeZoneChange = p.usefulWork() })
	for at := from; at < until; at += time.Minute {
		p.simulation.Schedule(at, p.sampleUse)
	}
	p.simulation.Schedule(until, func() { p.result.ZoneWork = (p.usefulWork() - p.workBeforeZoneChange) / 3600 })
}

// sampleUse records the accelerator-hours of one minute with the accelerators that are in use now.
func (p *replay) sampleUse() {
	used := 0
	for _, j := range p.simulation.Jobs() {
		if !j.RunningSince.IsZero() && !p.failing[j.ID] {
			used += j.Spec.Shape.Total()
		}
	}
	p.result.UseByMinute = append(p.result.UseByMinute, float64(used)/60)
}

// zoneWindow returns the time window in which the work during a zone change is measured. It is the same without a zone
// change.
func zoneWindow(profile Profile) (from, until time.Duration) {
	return profile.Duration / 2, profile.Duration/2 + 30*time.Minute + zoneSettleTime
}

func (p *replay) setZone(out bool) {
	zone := chutedocument.Zone{Name: string(p.trace.Topology.Zones()[0]), Out: out}
	p.simulation.Call(0, chutecall.ApplyDocument{Change: chutedocument.Change{Team: "ops", SetZone: &zone}})
}

// completed reports whether the submission period is over and every job has ended.
func (p *replay) completed() bool {
	if p.simulation.Now.Sub(p.startedAt) < p.trace.Profile.Duration {
		return false
	}
	shard, ok := p.simulation.Hosts[0].State.Shard(0)
	return ok && len(shard.Live()) == 0
}

// usefulWork returns the present progress of all jobs in accelerator-seconds.
func (p *replay) usefulWork() float64 {
	work := 0.0
	for _, j := range p.simulation.Jobs() {
		if p.failing[j.ID] {
			continue
		}
		work += p.progressOf(j).Seconds() * float64(j.Spec.Shape.Total())
	}
	return work
}

func (p *replay) progressOf(j chutejob.Job) time.Duration {
	switch {
	case j.Result.Code == chuteresult.Done:
		return p.runTimes[j.ID]
	case !j.RunningSince.IsZero():
		return min(p.runTimes[j.ID], p.initialProgress[attempt{j.ID, j.Attempt}]+p.simulation.Now.Sub(j.RunningSince))
	}
	return j.SavedProgress
}

func (p *replay) sampleState() {
	shard, ok := p.simulation.Hosts[0].State.Shard(0)
	if !ok {
		return
	}
	p.samples++
	var waiting []chutetopology.Shape
	for _, j := range shard.Live() {
		p.observeJob(j)
		if _, known := p.initialProgress[attempt{j.ID, j.Attempt}]; !known {
			p.initialProgress[attempt{j.ID, j.Attempt}] = j.SavedProgress
		}
		if j.Spec.Urgent && j.Attempt == 0 && !fitsWithPreemption(shard, j) {
			p.withoutCapacity[j.ID] = true
		}
		if j.Phase == chutejob.PhaseWaiting {
			waiting = append(waiting, j.Spec.Shape)
		}
	}
	if p.samples%fragmentationSamples != 0 || len(waiting) == 0 {
		return
	}
	for _, c := range shard.Inventory().Cells() {
		if c.Holder == "" && c.Packed() {
			waiting = append(waiting, c.Shape)
		}
	}
	p.result = p.result.withSample(shard.Inventory().Free(), waiting, shard.Inventory().Usable().Total())
}

// fitsWithPreemption reports whether the job fits beside the guaranteed jobs and the borrowers that only a guaranteed
// job may preempt.
func fitsWithPreemption(shard chuteshard.State, j chutejob.Job) bool {
	space := shard.Inventory().Claimable()
	for _, other := range shard.Live() {
		if !other.Guaranteed && (other.Spec.Urgent || !other.Spec.Restartable()) {
			space = space.Without(other.Blocks())
		}
	}
	_, fits := space.Place(j.Spec.Shape)
	return fits
}

// observeJob measures the wait of a large gang, the time from a claim to the start orders, and the time from the
// submission to the start of an urgent job.
func (p *replay) observeJob(j chutejob.Job) {
	now := p.simulation.Now
	if j.Phase == chutejob.PhaseWaiting && j.Spec.Shape.Total() >= largeGangSize {
		p.result.LargeGangWait = max(p.result.LargeGangWait, now.Sub(j.PhaseSince))
	}
	if j.Phase == chutejob.PhaseClaiming && j.Guaranteed {
		if _, known := p.claimedAt[j.ID]; !known {
			p.claimedAt[j.ID] = j.PhaseSince
		}
		return
	}
	claimed, known := p.claimedAt[j.ID]
	if known && (j.Phase == chutejob.PhaseStarting || j.Phase == chutejob.PhaseRunning) {
		p.result.ReclaimTime = max(p.result.ReclaimTime, j.PhaseSince.Sub(claimed))
		delete(p.claimedAt, j.ID)
	}
	if j.Spec.Urgent && !p.withoutCapacity[j.ID] && !p.urgentStarted[j.ID] && j.Attempt == 1 && j.Phase == chutejob.PhaseRunning {
		p.urgentStarted[j.ID] = true
		p.result.UrgentStartTime = max(p.result.UrgentStartTime, j.PhaseSince.Sub(j.SubmittedAt))
	}
}

// recordCompletions records the completion times, the repeated work and the number of unfinished jobs.
func (p *replay) recordCompletions() {
	for _, j := range p.simulation.Jobs() {
		switch {
		case j.Phase != chutejob.PhaseEnded:
			p.result.Unfinished++
		case j.Result.Code == chuteresult.Done:
			p.result.CompletionTimes = append(p.result.CompletionTimes, j.EndedAt.Sub(j.SubmittedAt))
			p.result.RepeatedWork += max(0, (j.EarlierRunTime-p.runTimes[j.ID]).Seconds()) * float64(j.Spec.Shape.Total()) / 3600
		}
	}
}
