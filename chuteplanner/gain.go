package chuteplanner

import (
	"monsoonchute.example/monsoonchute/chuteoccupancy"
	"monsoonchute.example/monsoonchute/chuteplacement"
)

// weigh gives the demands that may evict runs the value that they gain by it. Those that a guarantee covers evict whatever it costs.
func (p *pass) weigh(demands []chuteplacement.Demand, occupancy chuteoccupancy.Occupancy) {
	for i, d := range demands {
		if d.MayPreempt && !d.Guaranteed {
			demands[i].Gain, demands[i].Weighed = occupancy.Gain(d.ID)
		}
	}
}
