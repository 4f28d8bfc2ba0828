package chutemeasure

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// naiveStep is the time between two looks of the naive scheduler.
	naiveStep = time.Second
	// naiveRetries is how often the naive scheduler runs a job that fails.
	naiveRetries = 3
)

// naiveJob is a job of the naive scheduler.
type naiveJob struct {
	Submission
	blocks  []chutetopology.Block
	started time.Duration
	tries   int
}

// naive is a scheduler without any idea of this project: each workspace has a fixed share of the accelerators and one
// queue in order of arrival, the first blocks that fit are taken, and what is interrupted begins again.
type naive struct {
	trace    Trace
	now      time.Duration
	free     chuteaccelerator.Space
	queues   map[string][]*naiveJob
	running  []*naiveJob
	used     map[string]int
	finished float64 // accelerator-seconds of jobs that ended well
	backfill bool    // one queue without shares, in which any job that fits may pass those that do not
	result   Result
}

// ReplayNaive runs the trace through the naive scheduler.
func ReplayNaive(trace Trace) Result {
	return newNaive(trace).replay()
}

// ReplayBackfill runs the trace through the naive scheduler with one queue, no shares and backfill, so that it leaves no
// accelerators idle which a waiting job could use.
func ReplayBackfill(trace Trace) Result {
	n := newNaive(trace)
	n.backfill = true
	return n.replay()
}

func newNaive(trace Trace) *naive {
	return &naive{
		trace: trace, free: chuteaccelerator.New(trace.Topology), queues: make(map[string][]*naiveJob), used: make(map[string]int),
	}
}

func (n *naive) replay() Result {
	trace := n.trace
	from, until := zoneWindow(trace.Profile)
	before := 0.0
	for next := 0; n.now < trace.Profile.Duration+giveUp; n.now += naiveStep {
		for ; next < len(trace.Submissions) && trace.Submissions[next].At <= n.now; next++ {
			s := trace.Submissions[next]
			n.queues[s.Spec.Workspace] = append(n.queues[s.Spec.Workspace], &naiveJob{Submission: s})
		}
		n.step()
		if n.now == from {
			before = n.usefulWork()
		}
		if n.now == until {
			n.result.ZoneWork = (n.usefulWork() - before) / 3600
		}
		if next == len(trace.Submissions) && len(n.running) == 0 && n.waiting() == 0 {
			break
		}
	}
	n.result.Unfinished = len(n.running) + n.waiting()
	return n.result.sorted()
}

func (n *naive) waiting() int {
	total := 0
	for _, q := range n.queues {
		total += len(q)
	}
	return total
}

func (n *naive) step() {
	for _, j := range slices.Clone(n.running) {
		n.advance(j)
	}
	for _, workspace := range workspaceNames {
		if n.backfill {
			n.serveAny(workspace)
		} else {
			n.serve(workspace)
		}
	}
	if n.now%(fragmentInterval*time.Second) == 0 {
		n.sample()
	}
}

// advance ends a running job that is over, cancelled, or whose worker or zone is lost.
func (n *naive) advance(j *naiveJob) {
	workspace := j.Spec.Workspace
	over := n.now-j.started >= j.Run
	switch {
	case j.Cancel > j.At && n.now >= j.Cancel:
		n.stop(j)
	case n.interrupted(j):
		n.stop(j)
		n.queues[workspace] = append([]*naiveJob{j}, n.queues[workspace]...)
	case over && j.Fails:
		n.stop(j)
		if j.tries < naiveRetries {
			n.queues[workspace] = append(n.queues[workspace], j)
		}
	case over:
		n.stop(j)
		n.result.Completed = append(n.result.Completed, n.now-j.At)
		n.finished += j.Run.Seconds() * float64(j.Spec.Shape.Total())
	}
}

func (n *naive) stop(j *naiveJob) {
	n.running = slices.DeleteFunc(n.running, func(other *naiveJob) bool { return other == j })
	n.free = n.free.With(j.blocks)
	n.used[j.Spec.Workspace] -= j.Spec.Shape.Total()
}

// interrupted reports whether a part of the job is on a worker that is lost or in the zone that is out. Faults of the
// workers are seen at once, which favours the naive scheduler.
func (n *naive) interrupted(j *naiveJob) bool {
	return slices.ContainsFunc(j.blocks, func(b chutetopology.Block) bool { return !n.usable(b.Worker) })
}

func (n *naive) usable(worker chutetopology.WorkerID) bool {
	out := n.trace.ZoneOut > 0 && n.now >= n.trace.ZoneOut && n.now < n.trace.ZoneIn
	if out && n.free.Zone(worker) == n.trace.Topology.Zones()[0] {
		return false
	}
	return !slices.ContainsFunc(n.trace.Outages, func(o Outage) bool {
		return o.Worker == worker && n.now >= o.From && n.now < o.Until
	})
}

// serve starts the workspace's jobs in order of arrival until the first that does not fit.
func (n *naive) serve(workspace string) {
	for len(n.queues[workspace]) > 0 {
		j := n.queues[workspace][0]
		if j.Cancel > j.At && n.now >= j.Cancel {
			n.queues[workspace] = n.queues[workspace][1:]
			continue
		}
		if n.used[workspace] > 0 && n.used[workspace]+j.Spec.Shape.Total() > n.share(workspace) {
			return
		}
		if !n.start(j) {
			return
		}
		n.queues[workspace] = n.queues[workspace][1:]
	}
}

// start starts the job on the first blocks that hold it, and reports false if there are none.
func (n *naive) start(j *naiveJob) bool {
	blocks, ok := n.firstFit(j.Spec.Shape)
	if !ok {
		return false
	}
	n.free = n.free.Without(blocks)
	n.used[j.Spec.Workspace] += j.Spec.Shape.Total()
	j.blocks, j.started = blocks, n.now
	j.tries++
	n.running = append(n.running, j)
	return true
}

// serveAny starts every job of the queue that fits, in order of arrival.
func (n *naive) serveAny(workspace string) {
	failed := make(map[chutetopology.Shape]bool)
	n.queues[workspace] = slices.DeleteFunc(n.queues[workspace], func(j *naiveJob) bool {
		if j.Cancel > j.At && n.now >= j.Cancel {
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

// share returns the workspace's guaranteed accelerators and its equal part of the others.
func (n *naive) share(workspace string) int {
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

// firstFit returns the first blocks that hold the shape, in the order of the workers.
func (n *naive) firstFit(shape chutetopology.Shape) ([]chutetopology.Block, bool) {
	var found []chutetopology.Block
	group := ""
	for _, w := range n.trace.Topology.Workers() {
		if name := groupOf(w, shape.Within); name != group {
			group, found = name, nil
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

func groupOf(w chutetopology.Worker, level chutetopology.Level) string {
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

func (n *naive) usefulWork() float64 {
	work := n.finished
	for _, j := range n.running {
		if j.Fails {
			continue
		}
		work += (n.now - j.started).Seconds() * float64(j.Spec.Shape.Total())
	}
	return work
}

func (n *naive) sample() {
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
