package chuteadmission

import (
	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Rejection returns why a job with the specification cannot be accepted, and false if it can.
func Rejection(t *chutegang.Transition, spec chutejob.Spec) (chuteresult.Result, bool) {
	if err := spec.Check(); err != nil {
		return chuteresult.FromError(err), true
	}
	w, ok := t.Environment.Document.Workspace(spec.Workspace)
	if !ok {
		return chuteresult.New(chuteresult.NotFound, "workspace: %q is not in the document", spec.Workspace), true
	}
	if w.Quota > 0 && spec.Shape.Total() > w.Quota {
		return chuteresult.New(chuteresult.OverQuota, "shape: %s holds %d accelerators, the quota of %s is %d",
			spec.Shape, spec.Shape.Total(), w.Name, w.Quota), true
	}
	if limit := w.Limit.Accelerators; limit > 0 && spec.Shape.Total() > limit {
		return chuteresult.New(chuteresult.OverQuota, "shape: %s holds %d accelerators, the limit of workspace %s is %d",
			spec.Shape, spec.Shape.Total(), w.Name, limit), true
	}
	team, ok := t.Environment.Document.Team(w.Team)
	if ok && team.Quota > 0 && spec.Shape.Total() > team.Quota {
		return chuteresult.New(chuteresult.OverQuota, "shape: %s holds %d accelerators, the quota of team %s is %d",
			spec.Shape, spec.Shape.Total(), team.Name, team.Quota), true
	}
	if !fitsEmpty(t, spec.Shape) {
		return chuteresult.New(chuteresult.NeverFits, "shape: %s fits no part of shard %d, even when empty", spec.Shape, t.State.Shard), true
	}
	if !t.Environment.StoreUp {
		return chuteresult.New(chuteresult.StoreUnavailable, "job: cannot be recorded now"), true
	}
	return chuteresult.Result{}, false
}

// FollowsDocument reports whether a refusal of a job with the code rests on the document in force.
func FollowsDocument(code chuteresult.Code) bool {
	return code == chuteresult.NotFound || code == chuteresult.OverQuota || code == chuteresult.NeverFits
}

// fitsEmpty reports whether the shape fits the topology of the shard when nothing runs there.
func fitsEmpty(t *chutegang.Transition, shape chutetopology.Shape) bool {
	_, ok := chuteaccelerator.New(t.Environment.Topology).Place(shape)
	return ok
}
