package chuteeviction

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
)

// OfWorkspace returns the indexes of the groups of the workspace that may be evicted for a demand of the priority that its quota
// holds back, and what they request together. Those that don't last come first, then those with the lowest cost per core.
func (g *Groups) OfWorkspace(workspace string, priority int) ([]int, chutecapacity.Resources) {
	search := g.Search()
	eligible := Eligible{Above: priority, Lasting: true}
	var found []int
	for i, group := range g.groups {
		if group.Workspace == workspace && !g.evicted[i] && eligible.allows(group) && !search.spared(i, found) {
			found = append(found, i)
		}
	}
	slices.SortStableFunc(found, func(a, b int) int {
		x, y := g.groups[a], g.groups[b]
		return cmp.Or(compareLasting(x, y), cmp.Compare(x.costPerCore(), y.costPerCore()))
	})
	var requested chutecapacity.Resources
	for _, i := range found {
		requested = requested.Plus(g.groups[i].Requested)
	}
	return found, requested
}

// Requested returns what the runs of the group with the index request.
func (g *Groups) Requested(index int) chutecapacity.Resources {
	return g.groups[index].Requested
}

// compareLasting orders groups that don't last before those that do.
func compareLasting(a, b Group) int {
	switch {
	case !a.Lasting && b.Lasting:
		return -1
	case a.Lasting && !b.Lasting:
		return 1
	}
	return 0
}

// costPerCore returns the cost of evicting the group for each core that it requests.
func (g Group) costPerCore() float64 {
	return (g.Cost + 1) / max(1, g.Requested.Cores())
}
