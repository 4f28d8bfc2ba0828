package chutedemand

import "monsoonchute.example/monsoonchute/chutequota"

// CompareGuaranteed orders demands that a guarantee covers before the others.
func CompareGuaranteed(a, b Demand) int {
	switch {
	case a.Guaranteed && !b.Guaranteed:
		return -1
	case !a.Guaranteed && b.Guaranteed:
		return 1
	}
	return 0
}

// InShareOrder returns the demands in the order in which capacity is given to them: with weights of the workspaces, those of equal
// rank by the shares that the runs in use take, in parts. One task of a demand may use capacity that is reserved for others.
func InShareOrder(demands []Demand, use chutequota.Ledger, weights map[string]float64) []Demand {
	if weights == nil {
		return demands
	}
	items := make([]chutequota.Item, len(demands))
	for i, d := range demands {
		items[i] = chutequota.Item{Workspace: d.Workspace, Service: d.Service, Each: d.Step.Request, Tasks: len(d.Indexes), Gang: d.Step.Gang}
		if i > 0 {
			items[i].Rank = items[i-1].Rank
			if !sameRank(demands[i-1], d) {
				items[i].Rank++
			}
		}
	}
	parts := chutequota.Order(use, weights, items)
	ordered := make([]Demand, len(parts))
	for i, part := range parts {
		d := demands[part.Item]
		d.Indexes = d.Indexes[part.From:part.To]
		d.MayUseReserved = d.MayUseReserved && (part.From == 0 || d.Step.LongRunning)
		ordered[i] = d
	}
	return ordered
}

// sameRank reports whether the shares of the workspaces decide between two demands.
func sameRank(a, b Demand) bool {
	return CompareGuaranteed(a, b) == 0 && a.Priority == b.Priority && a.Class == b.Class
}
