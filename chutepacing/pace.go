package chutepacing

import "time"

// Full is the pace of a task that is not held back, in percent.
const FullPace = 100

const (
	// holdAbove is the share of the limit above which filling tasks are stopped from working.
	holdAbove = 0.9
	// easeBelow is the share of the limit below which they may work a little more.
	easeBelow = 0.7
	// easeStep is by how much the pace rises at once, in percent.
	easeStep = 10
	// EaseInterval is the least time between two rises.
	EaseInterval = time.Second
)

// Next returns the pace, in percent, of the filling tasks beside a serving task whose tail of response times was read
// against its limit. It falls at once and rises step by step, so that a rise can be judged before the next.
func NextPace(pace int, tail, limit, sinceChange time.Duration) int {
	switch {
	case limit <= 0:
		return FullPace
	case float64(tail) > holdAbove*float64(limit):
		return 0
	case float64(tail) < easeBelow*float64(limit) && sinceChange >= EaseInterval:
		return min(FullPace, pace+easeStep)
	}
	return pace
}
