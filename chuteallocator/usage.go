package chuteallocator

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutejob"
)

// usage counts the accelerators that each workspace and each team holds, to compare them with their quotas.
type usage struct {
	document   chutedocument.Document
	workspaces map[string]int
	teams      map[string]int
}

// countUsage returns the usage of the jobs that hold accelerators; it counts nothing if the document has no quota and
// no weight.
func countUsage(view View) usage {
	u := usage{document: view.Document, workspaces: make(map[string]int), teams: make(map[string]int)}
	if !hasQuota(view.Document) && !view.Document.HasWeights() {
		return u
	}
	for _, j := range view.Holding {
		u.add(j)
	}
	return u
}

// add counts the job's accelerators.
func (u usage) add(j chutejob.Job) {
	u.workspaces[j.Spec.Workspace] += j.Spec.Shape.Total()
	if w, ok := u.document.Workspace(j.Spec.Workspace); ok {
		u.teams[w.Team] += j.Spec.Shape.Total()
	}
}

// allows reports whether the job stays within the quotas of its workspace and its team.
func (u usage) allows(j chutejob.Job) bool {
	w, ok := u.document.Workspace(j.Spec.Workspace)
	if !ok {
		return false
	}
	total := j.Spec.Shape.Total()
	if w.Quota > 0 && u.workspaces[w.Name]+total > w.Quota {
		return false
	}
	t, ok := u.document.Team(w.Team)
	return !ok || t.Quota == 0 || u.teams[t.Name]+total <= t.Quota
}

// hasQuota reports whether the document has any quota.
func hasQuota(d chutedocument.Document) bool {
	return slices.ContainsFunc(d.Workspaces, func(w chutedocument.Workspace) bool { return w.Quota > 0 }) ||
		slices.ContainsFunc(d.Teams, func(t chutedocument.Team) bool { return t.Quota > 0 })
}
