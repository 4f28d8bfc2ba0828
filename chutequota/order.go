package chutequota

import (
	"container/heap"

	"monsoonchute.example/monsoonchute/chutecapacity"
)

// Item is a demand for capacity in the order of fair shares.
type Item struct {
	Workspace string
	Service   string
	Rank      int                     // items of a lower rank come first; those of equal rank are next to each other
	Each      chutecapacity.Resources // what one task requests
	Tasks     int
	Gang      bool // its tasks start together
}

// Part is some of the tasks of an item.
type Part struct {
	Item     int // index of the item
	From, To int // its tasks from From up to, but not including, To
}

// partShare is the share of a service's capacity up to which the tasks of an item are served together. A larger part would let the
// workspace with the smallest share take most of a large amount of capacity that becomes free at once.
const partShare = 0.0025

// Order returns the items, in parts, in the order of weighted dominant resource fairness: within each rank, the workspace with the
// smallest share divided by its weight is served first, and within a workspace the items keep their order. What is served counts
// towards the share.
func Order(l Ledger, weights map[string]float64, items []Item) []Part {
	parts := make([]Part, 0, len(items))
	for from := 0; from < len(items); {
		to := from + 1
		for to < len(items) && items[to].Rank == items[from].Rank {
			to++
		}
		parts = l.appendRank(parts, weights, items, from, to)
		from = to
	}
	return parts
}

// appendRank appends the parts of the items from one index up to another, which have one rank.
func (l Ledger) appendRank(parts []Part, weights map[string]float64, items []Item, from, to int) []Part {
	byKey := make(map[serviceUse]*queue)
	var queues queueHeap
	for i := from; i < to; i++ {
		key := serviceUse{service: items[i].Service, workspace: items[i].Workspace}
		q, ok := byKey[key]
		if !ok {
			q = l.newQueue(key, weights)
			byKey[key] = q
			queues = append(queues, q)
		}
		q.items = append(q.items, i)
	}
	heap.Init(&queues)
	for len(queues) > 0 {
		q := queues[0]
		parts = appendPart(parts, q.next(items))
		if len(q.items) == 0 {
			heap.Pop(&queues)
			continue
		}
		heap.Fix(&queues, 0)
	}
	return parts
}

// appendPart appends the part, joined with the last one if that ends where it begins.
func appendPart(parts []Part, part Part) []Part {
	if n := len(parts); n > 0 && parts[n-1].Item == part.Item && parts[n-1].To == part.From {
		parts[n-1].To = part.To
		return parts
	}
	return append(parts, part)
}

// queue is the items of a workspace for one service that are not served yet.
type queue struct {
	items    []int // indexes in their order
	served   int   // number of tasks of the first item that have been served
	use      chutecapacity.Resources
	capacity chutecapacity.Resources
	weight   float64
	share    float64 // dominant share divided by the weight
}

func (l Ledger) newQueue(key serviceUse, weights map[string]float64) *queue {
	q := &queue{use: l.services[key].Requested, capacity: l.capacity[key.service], weight: 1}
	if w := weights[key.workspace]; w > 0 {
		q.weight = w
	}
	q.share = dominantShare(q.use, q.capacity) / q.weight
	return q
}

// next serves a part of the first item and returns it.
func (q *queue) next(items []Item) Part {
	index := q.items[0]
	item := items[index]
	tasks := item.Tasks - q.served
	if each := dominantShare(item.Each, q.capacity); !item.Gang && each > 0 {
		tasks = min(tasks, max(1, int(partShare/each)))
	}
	part := Part{Item: index, From: q.served, To: q.served + tasks}
	q.served = part.To
	if q.served == item.Tasks {
		q.items, q.served = q.items[1:], 0
	}
	q.use = q.use.Plus(item.Each.Times(tasks))
	q.share = dominantShare(q.use, q.capacity) / q.weight
	return part
}

// queueHeap orders queues by their shares, and those of equal share by their first items.
type queueHeap []*queue

// Len returns the number of queues.
func (h queueHeap) Len() int { return len(h) }

// Less reports whether a queue is served before another.
func (h queueHeap) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].items[0] < h[j].items[0]
}

// Swap exchanges two queues.
func (h queueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a queue.
func (h *queueHeap) Push(x any) { *h = append(*h, x.(*queue)) }

// Pop removes the last queue and returns it.
func (h *queueHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	*h = (*h)[:last]
	return q
}
