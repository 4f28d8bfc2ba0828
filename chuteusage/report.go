package chuteusage

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutequota"
)

const (
	// reportInterval is the time between two reports of what the workspaces use.
	reportInterval = time.Second
	// maxWorkspaces is the largest number of workspaces in such a report, with at most eight series each.
	maxWorkspaces = 50
)

// Report is the latest report of what the workspaces use, for metrics. It is immutable.
type Report struct {
	at         time.Time
	workspaces []string // those whose gauges were set; never changed once stored
}

// Due reports whether the next report is due.
func (r Report) Due(now time.Time) bool {
	return now.Sub(r.at) >= reportInterval
}

// Next sets the gauges of the workspaces that have a quota or waiting tasks, or had them in the latest report, and returns the
// report.
func (r Report) Next(t *chuteaction.Transition, catalog chutecatalog.Catalog, use chutequota.Ledger, quotas chutequota.Quotas, waiting map[string]int) Report {
	workspaces := slices.Clone(r.workspaces)
	for _, w := range catalog.Workspaces {
		due := quotas.Limited(w.Name) || waiting[w.Name] > 0
		if due && len(workspaces) < maxWorkspaces && !slices.Contains(workspaces, w.Name) {
			workspaces = append(workspaces, w.Name)
		}
	}
	for _, name := range workspaces {
		w, _ := catalog.Workspace(name)
		setGauges(t, name, use.Use(name).Requested, w.Limit, use.LargestShare(name), waiting[name])
	}
	return Report{at: t.Now, workspaces: workspaces}
}

// End sets the gauges of the workspaces to 0, when this host does not count what they use any more.
func (r Report) End(t *chuteaction.Transition) {
	for _, name := range r.workspaces {
		setGauges(t, name, chutecapacity.Resources{}, chutecapacity.Resources{}, 0, 0)
	}
}

// setGauges sets the gauges of a workspace.
func setGauges(t *chuteaction.Transition, workspace string, use, limit chutecapacity.Resources, share float64, waiting int) {
	setResourceGauges(t, "workspace-use", workspace, use)
	setResourceGauges(t, "workspace-quota", workspace, limit)
	setGauge(t, "workspace-share", share, workspaceLabel(workspace))
	setGauge(t, "workspace-waiting-tasks", float64(waiting), workspaceLabel(workspace))
}

// setResourceGauges sets a gauge of a workspace for each resource.
func setResourceGauges(t *chuteaction.Transition, gauge, workspace string, r chutecapacity.Resources) {
	for _, amount := range []struct {
		resource string
		value    int
	}{{"processor", r.Processor}, {"memory", r.Memory}, {"accelerators", r.Accelerators}} {
		setGauge(t, gauge, float64(amount.value), workspaceLabel(workspace), chuteaction.Field{Name: "resource", Value: amount.resource})
	}
}

func workspaceLabel(workspace string) chuteaction.Field {
	return chuteaction.Field{Name: "workspace", Value: workspace}
}

func setGauge(t *chuteaction.Transition, gauge string, value float64, labels ...chuteaction.Field) {
	t.Emit(chuteaction.SetGauge{Gauge: gauge, Labels: labels, Value: value})
}
