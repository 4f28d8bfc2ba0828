package chutemeasure

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutetopology"
)

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
