package chutepacing

import (
	"time"

	"monsoonchute.example/monsoonchute/chutepool"
)

const (
	// stopAbove is the share of the limit above which the pace of best-effort tasks falls to 0.
	stopAbove = 0.9
	// raiseBelow is the share of the limit below which the pace rises by one step.
	raiseBelow = 0.7
	// raiseStep is the size of one rise of the pace, in percentage points.
	raiseStep = 10
	// RaiseInterval is the shortest time between a change of the pace and its next rise.
	RaiseInterval = time.Second
)

// NextPace returns the pace, in percent, of the best-effort tasks beside a serving task, from the tail of the serving
// task's response times and the limit of this tail. The pace falls to 0 at once and rises step by step, so that the
// effect of one rise shows before the next. Without a limit, it is chutepool.FullPace.
func NextPace(pace int, tail, limit, sinceChange time.Duration) int {
	switch {
	case limit <= 0:
		return chutepool.FullPace
	case float64(tail) > stopAbove*float64(limit):
		return 0
	case float64(tail) < raiseBelow*float64(limit) && sinceChange >= RaiseInterval:
		return min(chutepool.FullPace, pace+raiseStep)
	}
	return pace
}
