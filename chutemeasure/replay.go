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
	// sampleInterval is the time between two looks at a replay's state.
	sampleInterval = time.Second
	// fragmentInterval is the number of samples between two measurements of fragmentation.
	fragmentInterval = 10
	// warmUp is the time before a trace begins, for the entry host to take its shard.
	warmUp = 12 * time.Second
	// giveUp is how long after its last submission a trace may last.
	giveUp = 24 * time.Hour
	// largeGang is the number of accelerators from which a gang counts as large.
	largeGang = 32
)

// attempt names one attempt of a job.
type attempt struct {
	job    chutejob.ID
	number int
}

// replay is the state of one replay through the core.
type replay struct {
	fails   map[chutejob.ID]bool // jobs whose work never counts
	trace   Trace
	rig     *chutesimulation.Simulation
	began   time.Time
	result  Result
	samples int
	claims  map[chutejob.ID]time.Time
	started map[chutejob.ID]bool
	work    float64                   // useful accelerator-seconds at the beginning of the zone's change
	bases   map[attempt]time.Duration // progress with which each attempt began
	crowded map[chutejob.ID]bool      // urgent jobs that had no room when they were first seen
	runs    map[chutejob.ID]time.Duration
}

// Replay runs the trace through the core of one entry host in virtual time.
func Replay(trace Trace, seed uint64) Result {
	p := &replay{
		trace: trace, rig: chutesimulation.New(1, trace.Topology, seed, chutesimulation.WithTick(replayTick)),
		claims: make(map[chutejob.ID]time.Time), started: make(map[chutejob.ID]bool),
		bases: make(map[attempt]time.Duration), crowded: make(map[chutejob.ID]bool), runs: make(map[chutejob.ID]time.Duration),
		fails: make(map[chutejob.ID]bool),
	}
	p.rig.Run(3 * time.Second)
	p.rig.Call(0, chutecall.ApplyDocument{Change: trace.Change})
	p.rig.Run(warmUp)
	p.began = p.rig.Now
	p.schedule()
	end := p.began.Add(trace.Profile.Duration + giveUp)
	for p.rig.Now.Before(end) && !p.over() {
		p.rig.Run(sampleInterval)
		p.sample()
	}
	p.finish()
	return p.result.sorted()
}

// schedule enters all submissions and faults of the trace.
func (p *replay) schedule() {
	for _, s := range p.trace.Submissions {
		id := chutejob.ID("0000-" + s.Spec.Name)
		p.runs[id], p.fails[id] = s.Run, s.Fails
		p.rig.Schedule(s.At, func() { p.rig.Call(0, chutecall.SubmitJob{Job: chutejob.ID(s.Spec.Name), Spec: s.Spec}) })
		if s.Cancel > s.At {
			p.rig.Schedule(s.Cancel, func() { p.rig.Call(0, chutecall.CancelJob{Job: id}) })
		}
	}
	for _, o := range p.trace.Outages {
		w := p.rig.Workers[o.Worker]
		set := func(on bool) {
			if o.Faulty {
				w.Agent.SetFaulty(on)
			} else {
				w.Unreachable = on
			}
		}
		p.rig.Schedule(o.From, func() { set(true) })
		p.rig.Schedule(o.Until, func() { set(false) })
	}
	if p.trace.ZoneOut > 0 {
		p.rig.Schedule(p.trace.ZoneOut, func() { p.setZone(true) })
		p.rig.Schedule(p.trace.ZoneIn, func() { p.setZone(false) })
	}
	from, until := zoneWindow(p.trace.Profile)
	p.rig.Schedule(from, func() { p.work = p.usefulWork() })
	for at := from; at < until; at += time.Minute {
		p.rig.Schedule(at, p.sampleUse)
	}
	p.rig.Schedule(until, func() { p.result.ZoneWork = (p.usefulWork() - p.work) / 3600 })
}

// sampleUse enters the accelerators in use for one minute.
func (p *replay) sampleUse() {
	used := 0
	for _, j := range p.rig.Jobs() {
		if !j.RunningSince.IsZero() && !p.fails[j.ID] {
			used += j.Spec.Shape.Total()
		}
	}
	p.result.Minutes = append(p.result.Minutes, float64(used)/60)
}

// zoneWindow returns the time in which the work of a zone's change is measured, whether the zone changes or not.
func zoneWindow(profile Profile) (from, until time.Duration) {
	return profile.Duration / 2, profile.Duration/2 + 30*time.Minute + zoneTail
}

func (p *replay) setZone(out bool) {
	zone := chutedocument.Zone{Name: string(p.trace.Topology.Zones()[0]), Out: out}
	p.rig.Call(0, chutecall.ApplyDocument{Change: chutedocument.Change{Team: "ops", SetZone: &zone}})
}

// over reports whether every submission has been made and has ended.
func (p *replay) over() bool {
	if p.rig.Now.Sub(p.began) < p.trace.Profile.Duration {
		return false
	}
	shard, ok := p.rig.Hosts[0].State.Shard(0)
	return ok && len(shard.Live()) == 0
}

// usefulWork returns the accelerator-seconds of progress that all jobs have at the moment.
func (p *replay) usefulWork() float64 {
	work := 0.0
	for _, j := range p.rig.Jobs() {
		if p.fails[j.ID] {
			continue
		}
		work += p.progressOf(j).Seconds() * float64(j.Spec.Shape.Total())
	}
	return work
}

func (p *replay) progressOf(j chutejob.Job) time.Duration {
	switch {
	case j.Result.Code == chuteresult.Done:
		return p.runs[j.ID]
	case !j.RunningSince.IsZero():
		return min(p.runs[j.ID], p.bases[attempt{j.ID, j.Attempt}]+p.rig.Now.Sub(j.RunningSince))
	}
	return j.SavedProgress
}

func (p *replay) sample() {
	shard, ok := p.rig.Hosts[0].State.Shard(0)
	if !ok {
		return
	}
	p.samples++
	var waiting []chutetopology.Shape
	for _, j := range shard.Live() {
		p.watch(j)
		if _, known := p.bases[attempt{j.ID, j.Attempt}]; !known {
			p.bases[attempt{j.ID, j.Attempt}] = j.SavedProgress
		}
		if j.Spec.Urgent && j.Attempt == 0 && !hasRoom(shard, j) {
			p.crowded[j.ID] = true
		}
		if j.Phase == chutejob.PhaseWaiting {
			waiting = append(waiting, j.Spec.Shape)
		}
	}
	if p.samples%fragmentInterval != 0 || len(waiting) == 0 {
		return
	}
	for _, c := range shard.Inventory().Cells() {
		if c.Holder == "" && c.Packed() {
			waiting = append(waiting, c.Shape)
		}
	}
	p.result = p.result.withSample(shard.Inventory().Free(), waiting, shard.Inventory().Usable().Total())
}

// hasRoom reports whether the job fits beside guaranteed work and borrowers that nothing but a guarantee may stop.
func hasRoom(shard chuteshard.State, j chutejob.Job) bool {
	space := shard.Inventory().Claimable()
	for _, other := range shard.Live() {
		if !other.Guaranteed && (other.Spec.Urgent || !other.Spec.Restartable()) {
			space = space.Without(other.Blocks())
		}
	}
	_, fits := space.Place(j.Spec.Shape)
	return fits
}

// watch follows a job from its claim to its start.
func (p *replay) watch(j chutejob.Job) {
	now := p.rig.Now
	if j.Phase == chutejob.PhaseWaiting && j.Spec.Shape.Total() >= largeGang {
		p.result.LargeGangWait = max(p.result.LargeGangWait, now.Sub(j.PhaseSince))
	}
	if j.Phase == chutejob.PhaseClaiming && j.Guaranteed {
		if _, known := p.claims[j.ID]; !known {
			p.claims[j.ID] = j.PhaseSince
		}
		return
	}
	claimed, known := p.claims[j.ID]
	if known && (j.Phase == chutejob.PhaseStarting || j.Phase == chutejob.PhaseRunning) {
		p.result.ReclaimTime = max(p.result.ReclaimTime, j.PhaseSince.Sub(claimed))
		delete(p.claims, j.ID)
	}
	if j.Spec.Urgent && !p.crowded[j.ID] && !p.started[j.ID] && j.Attempt == 1 && j.Phase == chutejob.PhaseRunning {
		p.started[j.ID] = true
		p.result.UrgentStartTime = max(p.result.UrgentStartTime, j.PhaseSince.Sub(j.SubmittedAt))
	}
}

// finish enters the completion times.
func (p *replay) finish() {
	for _, j := range p.rig.Jobs() {
		switch {
		case j.Phase != chutejob.PhaseEnded:
			p.result.Unfinished++
		case j.Result.Code == chuteresult.Done:
			p.result.Completed = append(p.result.Completed, j.EndedAt.Sub(j.SubmittedAt))
			p.result.Lost += max(0, (j.EarlierRunTime-p.runs[j.ID]).Seconds()) * float64(j.Spec.Shape.Total()) / 3600
		}
	}
}
