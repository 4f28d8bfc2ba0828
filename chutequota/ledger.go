package chutequota

import (
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutepool"
)

// Ledger is what the runs of each workspace request across all workers. A run counts from when it is planned until its end is
// certain. It is immutable.
type Ledger struct {
	use      map[string]Use                     // by workspace
	services map[serviceUse]Use                 // by service and workspace; nil unless shares are needed
	capacity map[string]chutecapacity.Resources // of the listed workers of each service; nil unless shares are needed
}

// Use is what the runs of a workspace request.
type Use struct {
	Runs      int
	Requested chutecapacity.Resources
	Stopping  chutecapacity.Resources // the part of Requested that belongs to runs that are being stopped
}

// plus returns the use with that of one worker.
func (u Use) plus(o chutepool.WorkspaceUse) Use {
	return Use{Runs: u.Runs + o.Runs, Requested: u.Requested.Plus(o.Requested), Stopping: u.Stopping.Plus(o.Stopping)}
}

// serviceUse names the use of a workspace on the workers of a service.
type serviceUse struct{ service, workspace string }

// NewLedger returns what the runs on the workers request. With shares, it can tell the workspaces' shares of services as well.
func NewLedger(workers []chutepool.Worker, shares bool) Ledger {
	l := Ledger{use: make(map[string]Use)}
	if shares {
		l.services, l.capacity = make(map[serviceUse]Use), make(map[string]chutecapacity.Resources)
	}
	for _, w := range workers {
		for _, u := range w.Use() {
			l.use[u.Workspace] = l.use[u.Workspace].plus(u)
			if shares {
				key := serviceUse{service: w.Service, workspace: u.Workspace}
				l.services[key] = l.services[key].plus(u)
			}
		}
		if shares && w.Listed {
			l.capacity[w.Service] = l.capacity[w.Service].Plus(w.Capacity)
		}
	}
	return l
}

// Use returns what the runs of the workspace request.
func (l Ledger) Use(workspace string) Use {
	return l.use[workspace]
}

// Counted reports whether the use has been counted.
func (l Ledger) Counted() bool {
	return l.use != nil
}

// LargestShare returns the largest share of any service's capacity that the runs of the workspace request.
func (l Ledger) LargestShare(workspace string) float64 {
	largest := 0.0
	for service := range l.capacity {
		largest = max(largest, l.Share(service, workspace))
	}
	return largest
}

// Share returns the largest share of any resource of the service's capacity that the runs of the workspace request.
func (l Ledger) Share(service, workspace string) float64 {
	return dominantShare(l.services[serviceUse{service: service, workspace: workspace}].Requested, l.capacity[service])
}

// dominantShare returns the largest share of any resource of the capacity that the resources are.
func dominantShare(r, capacity chutecapacity.Resources) float64 {
	return max(share(r.Processor, capacity.Processor), share(r.Memory, capacity.Memory), share(r.Accelerators, capacity.Accelerators))
}

func share(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Weights returns the weight of each workspace that has one, and nil if none has.
func Weights(catalog chutecatalog.Catalog) map[string]float64 {
	var weights map[string]float64
	for _, w := range catalog.Workspaces {
		if w.Weight > 0 {
			if weights == nil {
				weights = make(map[string]float64)
			}
			weights[w.Name] = w.Weight
		}
	}
	return weights
}
