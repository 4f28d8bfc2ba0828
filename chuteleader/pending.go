package chuteleader

import (
	"cmp"
	"maps"
	"slices"
)

// Sizes of the encoded numbers of pending jobs. The leader's row, which the store takes up to 64 KiB, holds the handover beside
// them.
const (
	maxPendingBytes   = 20_000
	pendingCountBytes = 8 // of one queue, without its name
)

// boundedPending returns the numbers of pending jobs for which the leader's row has room, the largest first, and whether others were
// left out.
func boundedPending(pending map[string]int) (kept map[string]int, partial bool) {
	size := 0
	for queue := range pending {
		size += pendingCountBytes + len(queue)
	}
	if size <= maxPendingBytes {
		return pending, false
	}
	queues := slices.SortedFunc(maps.Keys(pending), func(a, b string) int {
		return cmp.Or(cmp.Compare(pending[b], pending[a]), cmp.Compare(a, b))
	})
	kept, size = make(map[string]int), 0
	for _, queue := range queues {
		if size += pendingCountBytes + len(queue); size > maxPendingBytes {
			break
		}
		kept[queue] = pending[queue]
	}
	return kept, true
}
