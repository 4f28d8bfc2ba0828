package chutecapacity

// processorWeight is the weight of unused processor time relative to that of unused accelerators.
const processorWeight = 0.1

// UnusedShare returns the weighted share of a capacity that the resources are, from 0 to 1 + processorWeight.
func (r Resources) UnusedShare(capacity Resources) float64 {
	return ratio(r.Accelerators, capacity.Accelerators) + processorWeight*ratio(r.Processor, capacity.Processor)
}

// ScarcestShare returns the free share of a capacity, from 0 to 1, in that of the resources' amounts above 0 of which the least
// is free.
func (r Resources) ScarcestShare(free, capacity Resources) float64 {
	share := 1.0
	if r.Processor > 0 {
		share = min(share, ratio(free.Processor, capacity.Processor))
	}
	if r.Memory > 0 {
		share = min(share, ratio(free.Memory, capacity.Memory))
	}
	if r.Accelerators > 0 {
		share = min(share, ratio(free.Accelerators, capacity.Accelerators))
	}
	return share
}

func ratio(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
