package chutemeasure

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// zoneSettleTime is the time after the return of a zone in which the effects of the zone change are still measured.
const zoneSettleTime = 10 * time.Minute

// Result holds the measures of one replay of a trace.
type Result struct {
	CompletionTimes []time.Duration // of jobs that ended well, sorted
	Unfinished      int             // number of jobs that had not ended when the replay ended
	Fragmentation   float64         // mean share of the free accelerators that fit no waiting or guaranteed shape
	Stranded        float64         // mean share of all accelerators that are free and fit no such shape
	ZoneWork        float64         // useful accelerator-hours in the zone window
	UseByMinute     []float64       // accelerator-hours in use in each minute of the zone window
	ReclaimTime     time.Duration   // longest time from the claim of a guaranteed job to its start orders
	UrgentStartTime time.Duration   // longest time from submission to start of urgent jobs that had capacity
	LargeGangWait   time.Duration   // longest wait of a gang of 32 accelerators or more
	RepeatedWork    float64         // accelerator-hours of work that was done again
	samples         int
}

// Mean returns the mean completion time, 0 without completed jobs.
func (r Result) Mean() time.Duration {
	if len(r.CompletionTimes) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, t := range r.CompletionTimes {
		sum += t
	}
	return sum / time.Duration(len(r.CompletionTimes))
}

// Percentile returns the completion time below which the given share of the jobs lies, such as 0.99.
func (r Result) Percentile(share float64) time.Duration {
	if len(r.CompletionTimes) == 0 {
		return 0
	}
	return r.CompletionTimes[min(len(r.CompletionTimes)-1, int(share*float64(len(r.CompletionTimes))))]
}

// AllowedWork returns the accelerator-hours that a replay with the zone change can use in the zone window: in each
// minute, as many as are in use without the change, up to the capacity that remains. The receiver is the result of a
// replay without the change; the trace contains the change.
func (r Result) AllowedWork(trace Trace) float64 {
	from, _ := zoneWindow(trace.Profile)
	all := float64(chuteaccelerator.New(trace.Topology).Total())
	remaining := float64(chuteaccelerator.New(trace.Topology.WithoutZone(trace.Topology.Zones()[0])).Total())
	allowed := 0.0
	for i, used := range r.UseByMinute {
		capacity := all
		if at := from + time.Duration(i)*time.Minute; at >= trace.ZoneOutAt && at < trace.ZoneInAt {
			capacity = remaining
		}
		allowed += min(used, capacity/60)
	}
	return allowed
}

func (r Result) finished() Result {
	slices.Sort(r.CompletionTimes)
	if r.samples > 0 {
		r.Fragmentation /= float64(r.samples)
		r.Stranded /= float64(r.samples)
	}
	return r
}

// withSample adds a fragmentation sample if not all waiting shapes fit in the free accelerators.
func (r Result) withSample(free chuteaccelerator.Space, waiting []chutetopology.Shape, all int) Result {
	total := free.Total()
	if total == 0 || len(waiting) == 0 {
		return r
	}
	remaining := free
	placed := 0
	for _, s := range waiting {
		if blocks, ok := remaining.Place(s); ok {
			remaining = remaining.Without(blocks)
			placed++
		}
	}
	if placed == len(waiting) {
		return r
	}
	r.samples++
	r.Fragmentation += float64(remaining.Total()) / float64(total)
	r.Stranded += float64(remaining.Total()) / float64(all)
	return r
}
