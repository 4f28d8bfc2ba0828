package chutemeasure

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// zoneTail is how long after a zone's return its effects are measured.
const zoneTail = 10 * time.Minute

// Result is what one replay of a trace gave.
type Result struct {
	Completed       []time.Duration // of jobs that ended well, in order
	Unfinished      int             // jobs that had not ended when the replay gave up
	Fragmentation   float64         // mean share of the free accelerators that serve no queued or guaranteed shape
	Stranded        float64         // the same accelerators as a share of all
	ZoneWork        float64         // useful accelerator-hours while the zone left and returned
	Minutes         []float64       // accelerator-hours in use in each minute of that time
	ReclaimTime     time.Duration   // longest time from a claim to the start orders
	UrgentStartTime time.Duration   // longest time from submission to running of urgent jobs that guaranteed work left room for
	LargeGangWait   time.Duration   // longest wait of a gang of 32 or more
	Lost            float64         // accelerator-hours done more than once
	samples         int
}

// Mean returns the mean completion time.
func (r Result) Mean() time.Duration {
	if len(r.Completed) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, c := range r.Completed {
		sum += c
	}
	return sum / time.Duration(len(r.Completed))
}

// Percentile returns the completion time that the share of the jobs stays under.
func (r Result) Percentile(share float64) time.Duration {
	if len(r.Completed) == 0 {
		return 0
	}
	return r.Completed[min(len(r.Completed)-1, int(share*float64(len(r.Completed))))]
}

// Allowed returns the accelerator-hours of an undisturbed run that the capacity which remained in each minute of the
// trace's zone change would have allowed.
func (r Result) AllowedWork(trace Trace) float64 {
	from, _ := zoneWindow(trace.Profile)
	all := float64(chuteaccelerator.New(trace.Topology).Total())
	rest := float64(chuteaccelerator.New(trace.Topology.WithoutZone(trace.Topology.Zones()[0])).Total())
	allowed := 0.0
	for i, used := range r.Minutes {
		capacity := all
		if at := from + time.Duration(i)*time.Minute; at >= trace.ZoneOut && at < trace.ZoneIn {
			capacity = rest
		}
		allowed += min(used, capacity/60)
	}
	return allowed
}

func (r Result) sorted() Result {
	slices.Sort(r.Completed)
	if r.samples > 0 {
		r.Fragmentation /= float64(r.samples)
		r.Stranded /= float64(r.samples)
	}
	return r
}

// withSample enters the free accelerators at a moment when shapes wait that do not all fit.
func (r Result) withSample(free chuteaccelerator.Space, waiting []chutetopology.Shape, all int) Result {
	total := free.Total()
	if total == 0 || len(waiting) == 0 {
		return r
	}
	rest := free
	served := 0
	for _, s := range waiting {
		if blocks, ok := rest.Place(s); ok {
			rest = rest.Without(blocks)
			served++
		}
	}
	if served == len(waiting) {
		return r
	}
	r.samples++
	r.Fragmentation += float64(rest.Total()) / float64(total)
	r.Stranded += float64(rest.Total()) / float64(all)
	return r
}
