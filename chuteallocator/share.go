package chuteallocator

import (
	"cmp"
	"container/heap"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutejob"
)

// workspaceQueue holds the waiting jobs of one workspace in their order.
type workspaceQueue struct {
	jobs  []chutejob.Job
	order int // position of the workspace's first job in the whole queue
	share float64
}

// shareQueue is a heap of the workspaces' queues. The workspace with the smallest share comes first, of equal ones that
// whose first job came first.
type shareQueue []workspaceQueue

// Len returns the number of queues.
func (q shareQueue) Len() int { return len(q) }

// Less orders the queues at two indexes.
func (q shareQueue) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(q[a].share, q[b].share), cmp.Compare(q[a].order, q[b].order)) < 0
}

// Swap swaps the queues at two indexes.
func (q shareQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push adds a queue.
func (q *shareQueue) Push(added any) {
	if w, ok := added.(workspaceQueue); ok {
		*q = append(*q, w)
	}
}

// Pop removes the last queue.
func (q *shareQueue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	*q = (*q)[:last]
	return removed
}

// serveByShare calls serve for each job, urgent ones first. In each of the two classes the next job is that of the
// workspace with the smallest share at that moment, and the jobs of one workspace follow in the order of the queue.
func (p *pass) serveByShare(queue []chutejob.Job, serve func(chutejob.Job)) {
	if p.weights == nil {
		p.weights = weightsOf(p.view.Document)
	}
	urgent := 0
	for urgent < len(queue) && queue[urgent].Spec.Urgent {
		urgent++
	}
	for _, class := range [][]chutejob.Job{queue[:urgent], queue[urgent:]} {
		shares := p.newShareQueue(class)
		for len(shares) > 0 {
			first := &shares[0]
			serve(first.jobs[0])
			first.share, first.jobs = p.share(first.jobs[0].Spec.Workspace), first.jobs[1:]
			if len(first.jobs) == 0 {
				heap.Pop(&shares)
			} else {
				heap.Fix(&shares, 0)
			}
		}
	}
}

func (p *pass) newShareQueue(jobs []chutejob.Job) shareQueue {
	var shares shareQueue
	indexes := make(map[string]int)
	for i, j := range jobs {
		index, known := indexes[j.Spec.Workspace]
		if !known {
			index = len(shares)
			indexes[j.Spec.Workspace] = index
			shares = append(shares, workspaceQueue{order: i, share: p.share(j.Spec.Workspace)})
		}
		shares[index].jobs = append(shares[index].jobs, j)
	}
	heap.Init(&shares)
	return shares
}

// share returns the accelerators of the workspace in use on the shard, divided by its weight. It is not divided by the capacity of the
// shard, since that is the same for all workspaces.
func (p *pass) share(workspace string) float64 {
	return float64(p.usage.workspaces[workspace]) / p.weights[workspace]
}

// weightsOf returns the weight of each workspace of the document.
func weightsOf(d chutedocument.Document) map[string]float64 {
	weights := make(map[string]float64, len(d.Workspaces))
	for _, w := range d.Workspaces {
		weights[w.Name] = w.ShareWeight()
	}
	return weights
}
