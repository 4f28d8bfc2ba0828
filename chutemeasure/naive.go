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

// startInOrder starts the jobs of the workspace in order of arrival up to the first that exceeds the share or does not
// fit.
func (n *naiveScheduler) startInOrder(workspace string) {
	for len(n.queues[workspace]) > 0 {
		j := n.queues[workspace][0]
		if j.CancelAt > j.SubmitAt && n.now >= j.CancelAt {
			n.queues[workspace] = n.queues[workspace][1:]
			continue
		}
		if n.usedByWorkspace[workspace] > 0 && n.usedByWorkspace[workspace]+j.Spec.Shape.Total() > n.share(workspace) {
			return
		}
		if !n.start(j) {
			return
		}
		n.queues[workspace] = n.queues[workspace][1:]
	}
}

// start starts the job on the first blocks that fit it and reports whether there are any.
func (n *naiveScheduler) start(j *naiveJob) bool {
	blocks, ok := n.firstFit(j.Spec.Shape)
	if !ok {
		return false
	}
	n.free = n.free.Without(blocks)
	n.usedByWorkspace[j.Spec.Workspace] += j.Spec.Shape.Total()
	j.blocks, j.startedAt = blocks, n.now
	j.attempts++
	n.running = append(n.running, j)
	return true
}

// startFitting starts, in order of arrival, every job of the workspace that fits.
func (n *naiveScheduler) startFitting(workspace string) {
	failed := make(map[chutetopology.Shape]bool)
	n.queues[workspace] = slices.DeleteFunc(n.queues[workspace], func(j *naiveJob) bool {
		if j.CancelAt > j.SubmitAt && n.now >= j.CancelAt {
			return true
		}
		if failed[j.Spec.Shape] {
			return false
		}
		started := n.start(j)
		failed[j.Spec.Shape] = !started
		return started
	})
}

// share returns the number of guaranteed accelerators of the workspace plus an equal part of those that are not
// guaranteed.
func (n *naiveScheduler) share(workspace string) int {
	all, guaranteed, own := 0, 0, 0
	for _, w := range n.trace.Topology.Workers() {
		all += w.Accelerators
	}
	for _, w := range *n.trace.Change.Workspaces {
		for _, g := range w.Guarantees {
			guaranteed += g.Count * g.Shape.Total()
			if w.Name == workspace {
				own += g.Count * g.Shape.Total()
			}
		}
	}
	return own + (all-guaranteed)/len(workspaceNames)
}

// firstFit returns the first blocks that fit the shape in the order of the workers.
func (n *naiveScheduler) firstFit(shape chutetopology.Shape) ([]chutetopology.Block, bool) {
	var found []chutetopology.Block
	currentGroup := ""
	for _, w := range n.trace.Topology.Workers() {
		if name := groupName(w, shape.Within); name != currentGroup {
			currentGroup, found = name, nil
		}
		if !n.usable(w.ID) {
			continue
		}
		mask := n.free.Mask(w.ID)
		for starts := mask.Starts(shape.BlockSize()); starts != 0; starts &= starts - 1 {
			first := starts & -starts
			found = append(found, chutetopology.Block{Worker: w.ID, Mask: first * chutetopology.FullMask(shape.BlockSize())})
			if len(found) == shape.Parts {
				return found, true
			}
		}
	}
	return nil, false
}

func groupName(w chutetopology.Worker, level chutetopology.Level) string {
	switch level {
	case chutetopology.LevelWorker:
		return string(w.ID)
	case chutetopology.LevelRack:
		return string(w.Rack)
	case chutetopology.LevelZone:
		return string(w.Zone)
	}
	return ""
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
