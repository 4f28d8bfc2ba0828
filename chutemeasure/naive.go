package chutemeasure

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// naiveInterval is the time between two passes of the naive scheduler.
	naiveInterval = time.Second
	// naiveMaxAttempts is the number of times that the naive scheduler runs a job that fails.
	naiveMaxAttempts = 3
)

// naiveJob is a job of the naive scheduler.
type naiveJob struct {
	Submission
	blocks    []chutetopology.Block
	startedAt time.Duration
	attempts  int
}

// naiveScheduler is the baseline for the measurements. Each workspace has a fixed share of the accelerators and a
// first-come-first-served queue, a job takes the first blocks that fit, and an interrupted job starts again.
type naiveScheduler struct {
	trace           Trace
	now             time.Duration
	free            chuteaccelerator.Space
	queues          map[string][]*naiveJob
	running         []*naiveJob
	usedByWorkspace map[string]int
	completedWork   float64 // accelerator-seconds of jobs that ended well
	backfill        bool    // no shares, and any job that fits may overtake jobs that do not
	result          Result
}

// ReplayNaive replays the trace through the naive scheduler.
func ReplayNaive(trace Trace) Result {
	return newNaive(trace).replay()
}

// ReplayBackfill replays the trace through the naive scheduler without shares and with backfill, so that no accelerator
// that a waiting job could use stays idle.
func ReplayBackfill(trace Trace) Result {
	n := newNaive(trace)
	n.backfill = true
	return n.replay()
}

func newNaive(trace Trace) *naiveScheduler {
	return &naiveScheduler{
		trace: trace, free: chuteaccelerator.New(trace.Topology), queues: make(map[string][]*naiveJob), usedByWorkspace: make(map[string]int),
	}
}

func (n *naiveScheduler) replay() Result {
	trace := n.trace
	from, until := zoneWindow(trace.Profile)
	workBefore := 0.0
	for next := 0; n.now < trace.Profile.Duration+maxOvertime; n.now += naiveInterval {
		for ; next < len(trace.Submissions) && trace.Submissions[next].SubmitAt <= n.now; next++ {
			s := trace.Submissions[next]
			n.queues[s.Spec.Workspace] = append(n.queues[s.Spec.Workspace], &naiveJob{Submission: s})
		}
		n.step()
		if n.now == from {
			workBefore = n.usefulWork()
		}
		if n.now == until {
			n.result.ZoneWork = (n.usefulWork() - workBefore) / 3600
		}
		if next == len(trace.Submissions) && len(n.running) == 0 && n.waiting() == 0 {
			break
		}
	}
	n.result.Unfinished = len(n.running) + n.waiting()
	return n.result.finished()
}

func (n *naiveScheduler) waiting() int {
	total := 0
	for _, q := range n.queues {
		total += len(q)
	}
	return total
}

func (n *naiveScheduler) step() {
	for _, j := range slices.Clone(n.running) {
		n.updateJob(j)
	}
	for _, workspace := range workspaceNames {
		if n.backfill {
			n.startFitting(workspace)
		} else {
			n.startInOrder(workspace)
		}
	}
	if n.now%(fragmentationSamples*time.Second) == 0 {
		n.sampleFragmentation()
	}
}

// updateJob stops a running job that has completed or failed, that is cancelled, or whose worker or zone is lost, and
// queues it again if it is to run again.
func (n *naiveScheduler) updateJob(j *naiveJob) {
	workspace := j.Spec.Workspace
	over := n.now-j.startedAt >= j.RunTime
	switch {
	case j.CancelAt > j.SubmitAt && n.now >= j.CancelAt:
		n.stop(j)
	case n.interrupted(j):
		n.stop(j)
		n.queues[workspace] = append([]*naiveJob{j}, n.queues[workspace]...)
	case over && j.Fails:
		n.stop(j)
		if j.attempts < naiveMaxAttempts {
			n.queues[workspace] = append(n.queues[workspace], j)
		}
	case over:
		n.stop(j)
		n.result.CompletionTimes = append(n.result.CompletionTimes, n.now-j.SubmitAt)
		n.completedWork += j.RunTime.Seconds() * float64(j.Spec.Shape.Total())
	}
}

func (n *naiveScheduler) stop(j *naiveJob) {
	n.running = slices.DeleteFunc(n.running, func(other *naiveJob) bool { return other == j })
	n.free = n.free.With(j.blocks)
	n.usedByWorkspace[j.Spec.Workspace] -= j.Spec.Shape.Total()
}

// interrupted reports whether a part of the job runs on a worker that is lost or that is in the zone that is out. The
// naive scheduler detects faults of workers immediately, which favours it.
func (n *naiveScheduler) interrupted(j *naiveJob) bool {
	return slices.ContainsFunc(j.blocks, func(b chutetopology.Block) bool { return !n.usable(b.Worker) })
}

func (n *naiveScheduler) usable(worker chutetopology.WorkerID) bool {
	out := n.trace.ZoneOutAt > 0 && n.now >= n.trace.ZoneOutAt && n.now < n.trace.ZoneInAt
	if out && n.free.Zone(worker) == n.trace.Topology.Zones()[0] {
		return false
	}
	return !slices.ContainsFunc(n.trace.Outages, func(o Outage) bool {
		return o.Worker == worker && n.now >= o.From && n.now < o.Until
	})
}

func (n *naiveScheduler) usefulWork() float64 {
	work := n.completedWork
	for _, j := range n.running {
		if j.Fails {
			continue
		}
		work += (n.now - j.startedAt).Seconds() * float64(j.Spec.Shape.Total())
	}
	return work
}

func (n *naiveScheduler) sampleFragmentation() {
	free := n.free
	for _, w := range n.trace.Topology.Workers() {
		if !n.usable(w.ID) {
			free = free.WithMask(w.ID, 0)
		}
	}
	var waiting []chutetopology.Shape
	for _, workspace := range workspaceNames {
		for _, j := range n.queues[workspace] {
			waiting = append(waiting, j.Spec.Shape)
		}
	}
	n.result = n.result.withSample(free, waiting, chuteaccelerator.New(n.trace.Topology).Total())
}
