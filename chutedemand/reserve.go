package chutedemand

import "monsoonchute.example/monsoonchute/chutecapacity"

// reservedDivisor gives the part of a service's capacity, one in so many, that reservations may take together when there are several.
const reservedDivisor = 4

// Reserve is what is reserved in a service for demands that wait. It is immutable.
type Reserve struct {
	demands      int
	accelerators int
	processor    int // of demands without accelerators
}

// None reports whether nothing is reserved.
func (r Reserve) None() bool {
	return r.demands == 0
}

// With returns the reserve with what the demand needs.
func (r Reserve) With(d Demand) Reserve {
	need := d.Step.Reserved().Times(len(d.Indexes))
	r.demands++
	r.accelerators += need.Accelerators
	if need.Accelerators == 0 {
		r.processor += need.Processor
	}
	return r
}

// Within reports whether the reservations take at most a quarter of the capacity, by accelerators or, for demands without any, by
// processor.
func (r Reserve) Within(capacity chutecapacity.Resources) bool {
	return reservedDivisor*r.accelerators <= capacity.Accelerators && reservedDivisor*r.processor <= capacity.Processor
}
