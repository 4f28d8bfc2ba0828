package chuteentry_test

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// quotaPeriod is the quotas by workspace that were put in force at a time.
type quotaPeriod struct {
	since  time.Time
	limits map[string]chutecapacity.Resources
}

// maxQuotaAge is the age up to which a former configuration may still decide a start: the leader may not know the newer one for 3 s,
// and a worker may carry out a start up to 10 s later.
const maxQuotaAge = 13 * time.Second

// putQuotas puts a configuration in force in which the workspaces have these quotas and weights.
func (sm *simulation) putQuotas(limits map[string]chutecapacity.Resources, weights map[string]float64) {
	catalog := testCatalog(int64(len(sm.quotas) + 2))
	catalog.Workspaces = append(catalog.Workspaces, chutecatalog.Workspace{Name: "third", Keys: []string{"third"}})
	for i, w := range catalog.Workspaces {
		catalog.Workspaces[i].Limit, catalog.Workspaces[i].Weight = limits[w.Name], weights[w.Name]
	}
	sm.quotas = append(sm.quotas, quotaPeriod{since: sm.now, limits: limits})
	sm.putCatalog(catalog)
}

// accelerators returns a quota of so many accelerators.
func accelerators(n int) chutecapacity.Resources {
	return chutecapacity.Resources{Accelerators: n}
}

// workspaceOf returns the workspace of a recorded job.
func (sm *simulation) workspaceOf(id chutegraph.JobID) string {
	row, _ := sm.store.rows[chuteaction.SubmissionKey(id)].Value.(chuteaction.SubmissionRow)
	return row.Workspace
}

// limitOf returns the highest number of accelerators in the workspace's quotas that may still be in force, and 0 if there is none.
func (sm *simulation) limitOf(workspace string) int {
	highest := 0
	for i, q := range sm.quotas {
		if i+1 == len(sm.quotas) || sm.now.Sub(sm.quotas[i+1].since) <= maxQuotaAge {
			highest = max(highest, q.limits[workspace].Accelerators)
		}
	}
	return highest
}

// checkQuota reports a run whose start raises what its workspace has running on all workers above its quota.
func (sm *simulation) checkQuota(id chutegraph.RunID, step chutegraph.Step) {
	workspace := sm.workspaceOf(id.Task.Job)
	limit := sm.limitOf(workspace)
	if limit == 0 || step.Request.Accelerators == 0 {
		return
	}
	used := step.Request.Accelerators
	for _, k := range sm.workers {
		for _, r := range k.runs {
			if sm.workspaceOf(r.id.Task.Job) == workspace {
				used += r.step.Request.Accelerators
			}
		}
	}
	if used > limit {
		sm.reportViolation("start of %s raises workspace %s to %d accelerators, above its quota of %d", id, workspace, used, limit)
	}
}
