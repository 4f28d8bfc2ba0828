package chuteplacement

import (
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// Fitting returns the steps of the first demands, at most limit, that would start on the workers if nothing were kept for others, each
// by itself and in any rack or not. Run groups and quotas of the view don't matter.
func Fitting(view View, anyRack bool, limit int) []chutegraph.StepID {
	p := newPass(view)
	var fitting []chutegraph.StepID
	for _, d := range view.Demands {
		if len(fitting) == limit {
			break
		}
		d = d.InAnyRack(anyRack)
		switch {
		case p.unplaced.Imply(d):
		case p.fits(d):
			fitting = append(fitting, d.ID)
		default:
			p.unplaced = p.unplaced.With(d)
		}
	}
	return fitting
}

// Fits reports whether a task of the demand, or its whole gang, would start on the workers if nothing were kept for others.
func Fits(workers []Worker, d chutedemand.Demand) bool {
	return newPass(View{Workers: workers}).fits(d)
}

func (p *pass) fits(d chutedemand.Demand) bool {
	if !d.Step.Gang {
		d = d.Single(0)
	}
	_, ok := p.place(d, freeNow)
	return ok
}
