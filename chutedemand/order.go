package chutedemand

// maxUnplaced is the largest number of failed demands that others are compared with. Demands that differ in many ways would
// otherwise make a pass quadratic.
const maxUnplaced = 256

// Unplaced are demands of a pass for which no capacity was found.
type Unplaced struct{ demands []Demand }

// With returns the demands with one more, if others may be known not to fit because of it.
func (u Unplaced) With(d Demand) Unplaced {
	if len(u.demands) < maxUnplaced && !constrainedBeyondLabel(d) {
		u.demands = append(u.demands, d)
	}
	return u
}

// Imply reports whether a demand that is no harder to place than this one has found no capacity. This suffices because free
// capacity only shrinks during a pass.
func (u Unplaced) Imply(d Demand) bool {
	for _, f := range u.demands {
		if dominates(f, d) {
			return true
		}
	}
	return false
}

// dominates reports whether the failure to place one demand implies that the other can't be placed either.
func dominates(failed, d Demand) bool {
	switch {
	case failed.Service != d.Service:
		return false
	case failed.Step.SameRack && len(failed.Indexes) > 1 && !sameShape(failed, d):
		return false // a demand that is too large for every rack may be spread over several
	case failed.Step.Label != "" && failed.Step.Label != d.Step.Label || constrainedBeyondLabel(failed) || failed.Priority > d.Priority:
		return false
	case d.MayPreempt && !failed.MayPreempt || d.Guaranteed && !failed.Guaranteed || d.MayUseReserved && !failed.MayUseReserved:
		return false
	case d.MayPreempt && failed.Weighed && (!d.Weighed || d.Gain > failed.Gain):
		return false
	case failed.Step.Gang && (!d.Step.Gang || len(failed.Indexes) > len(d.Indexes)):
		return false
	}
	return failed.Step.Reserved().Fits(d.Step.Reserved())
}

// sameShape reports whether both demands need the same number of equal tasks in one rack.
func sameShape(a, b Demand) bool {
	return b.Step.SameRack && !constrained(b) && len(a.Indexes) == len(b.Indexes) && a.Step.Reserved() == b.Step.Reserved()
}

// constrained reports whether the demand excludes some workers of its service.
func constrained(d Demand) bool {
	return d.Step.Label != "" || constrainedBeyondLabel(d)
}

// constrainedBeyondLabel reports whether the demand excludes some workers of its service that have the label that it requires.
func constrainedBeyondLabel(d Demand) bool {
	return d.Step.DataRack != "" || d.Step.AntiAffinity > 0 || len(d.Excluded) > 0 || d.Tickets != nil
}
