package chuteplacement

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// Fitting returns the steps of the first demands, at most limit, that would start on the workers if nothing were kept for others, each
// by itself and in any rack or not.
func Fitting(workers []Worker, demands []Demand, anyRack bool, limit int) []chutegraph.StepID {
	p := newPass(View{Workers: workers})
	var fitting []chutegraph.StepID
	for _, d := range demands {
		if len(fitting) == limit {
			break
		}
		d = d.inAnyRack(anyRack)
		switch {
		case p.knownUnplaceable(d):
		case p.fits(d, freeNow):
			fitting = append(fitting, d.ID)
		default:
			p.unplaced = append(p.unplaced, d)
		}
	}
	return fitting
}

// Fits reports whether a task of the demand, or its whole gang, would start on the workers if nothing were kept for others.
func Fits(workers []Worker, d Demand) bool {
	return newPass(View{Workers: workers}).fits(d, freeNow)
}

// FitsAcrossRacks reports whether it would if it could use any rack.
func FitsAcrossRacks(workers []Worker, d Demand) bool {
	return Fits(workers, d.inAnyRack(true))
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

// inAnyRack returns the demand without its wishes for a rack, if it may use any.
func (d Demand) inAnyRack(allowed bool) Demand {
	if allowed {
		d.Step.SameRack, d.Step.DataRack = false, ""
	}
	return d
}
