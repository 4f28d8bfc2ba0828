package chutepool

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
)

// WorkspaceUse is what the runs of a workspace request on a worker, from when they are planned until their end is certain.
type WorkspaceUse struct {
	Workspace string
	Runs      int
	Requested chutecapacity.Resources
	Stopping  chutecapacity.Resources // the part of Requested that belongs to runs that are being stopped
}

// Use returns what the worker's runs request, by workspace. The caller does not modify it.
func (w Worker) Use() []WorkspaceUse {
	return w.use
}

// sameUse reports whether both runs count alike towards the use of a workspace.
func sameUse(a, b Run) bool {
	return a.Workspace == b.Workspace && a.Request == b.Request && (a.Phase == RunStopping) == (b.Phase == RunStopping)
}

// withUse returns the worker with what the run requests.
func (w Worker) withUse(run Run) Worker {
	return w.addUse(run, 1)
}

// withoutUse returns the worker without what the run requests.
func (w Worker) withoutUse(run Run) Worker {
	return w.addUse(run, -1)
}

// addUse returns the worker with the run's request added to the use of its workspace n times.
func (w Worker) addUse(run Run, n int) Worker {
	w.use = slices.Clone(w.use)
	i := slices.IndexFunc(w.use, func(u WorkspaceUse) bool { return u.Workspace == run.Workspace })
	if i < 0 {
		i = len(w.use)
		w.use = append(w.use, WorkspaceUse{Workspace: run.Workspace})
	}
	u := &w.use[i]
	u.Runs += n
	u.Requested = u.Requested.Plus(run.Request.Times(n))
	if run.Phase == RunStopping {
		u.Stopping = u.Stopping.Plus(run.Request.Times(n))
	}
	if u.Runs == 0 {
		w.use = slices.Delete(w.use, i, i+1)
	}
	return w
}
