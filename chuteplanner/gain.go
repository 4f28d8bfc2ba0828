package chuteplanner

import (
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chuteoccupancy"
)

// setGains sets, for each demand that may evict runs, the value that it gains by that. A demand that a guarantee covers is left out,
// since it evicts at any cost.
func (p *pass) setGains(demands []chutedemand.Demand, occupancy chuteoccupancy.Occupancy) {
	for i, d := range demands {
		if d.MayPreempt && !d.Guaranteed {
			demands[i].Gain, demands[i].Weighed = occupancy.Gain(d.ID)
		}
	}
}
