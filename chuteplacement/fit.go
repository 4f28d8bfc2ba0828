package chuteplacement

import "slices"

// Fits reports whether a task of the demand, or its whole gang, would start on the workers if nothing were kept for others.
func Fits(workers []Worker, d Demand) bool {
	return newPass(View{Workers: workers}).fits(d, freeNow)
}

// FitsAcrossRacks reports whether it would if it could use any rack.
func FitsAcrossRacks(workers []Worker, d Demand) bool {
	d.Step.SameRack, d.Step.DataRack = false, ""
	return Fits(workers, d)
}

// FitsTwice reports whether two tasks of the demand, or its gang twice, would start on the workers if these could use any rack.
func FitsTwice(workers []Worker, d Demand) bool {
	if !d.Step.Gang {
		d = d.single(0)
	}
	d.Step.Gang = true
	d.Indexes = append(slices.Clone(d.Indexes), d.Indexes...)
	return FitsAcrossRacks(workers, d)
}

// FitsEmpty reports whether it would if nothing ran on the workers.
func FitsEmpty(workers []Worker, d Demand) bool {
	return newPass(View{Workers: workers}).fits(d, wholeCapacity)
}

func (p *pass) fits(d Demand, a availability) bool {
	if !d.Step.Gang {
		d = d.single(0)
	}
	_, ok := p.place(d, a)
	return ok
}
