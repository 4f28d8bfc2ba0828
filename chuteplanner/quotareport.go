package chuteplanner

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chuteplacement"
)

const (
	// quotaReportInterval is the time between two reports of what the workspaces use.
	quotaReportInterval = time.Second
	// maxReportedWorkspaces is the largest number of workspaces in such a report, with at most eight series each.
	maxReportedWorkspaces = 50
)

// quotaReport is the latest report of what the workspaces use, for metrics. It is immutable.
type quotaReport struct {
	at         time.Time
	workspaces []string // those whose gauges were set; never changed once stored
}

// quotaReportDue reports whether this pass reports what the workspaces use.
func (p *pass) quotaReportDue() bool {
	return p.Now.Sub(p.quotaReport.at) >= quotaReportInterval
}

// reportUse sets the gauges of the workspaces that have a quota or waiting tasks, or had them in the latest report.
func (p *pass) reportUse(lists ...[]chuteplacement.Demand) {
	if !p.use.Counted() || !p.quotaReportDue() {
		return
	}
	t := p.Transition.Transition.Transition
	waiting := make(map[string]int)
	for _, demands := range lists {
		for _, d := range demands {
			waiting[d.Workspace] += len(p.stillWaiting(d))
		}
	}
	workspaces := slices.Clone(p.quotaReport.workspaces)
	for _, w := range p.Environment.Catalog.Workspaces {
		due := p.quotas.Limited(w.Name) || waiting[w.Name] > 0
		if due && len(workspaces) < maxReportedWorkspaces && !slices.Contains(workspaces, w.Name) {
			workspaces = append(workspaces, w.Name)
		}
	}
	for _, name := range workspaces {
		w, _ := p.Environment.Catalog.Workspace(name)
		setGauges(t, name, p.use.Use(name).Requested, w.Limit, p.use.LargestShare(name), waiting[name])
	}
	p.quotaReport = quotaReport{at: p.Now, workspaces: workspaces}
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

// End sets the gauges of the workspaces to 0, since this host does not count what they use any more.
func (p Planner) End(t *chuteaction.Transition) {
	for _, name := range p.quotaReport.workspaces {
		setGauges(t, name, chutecapacity.Resources{}, chutecapacity.Resources{}, 0, 0)
	}
}
