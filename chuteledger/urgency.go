package chuteledger

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
	"monsoonchute.example/monsoonchute/chuteurgency"
)

// maxRecordTime bounds the time from the acceptance of a job until its scheduler reads its row. A longer one means that the store's
// clock has jumped.
const maxRecordTime = 10 * time.Second

// AcceptedAt returns when the occurrence of the job was accepted or, for one with a start time, was due. Without a usable time in the
// job's row it is when this host first saw the job. For a job first seen well after the takeover it is at most maxRecordTime earlier.
func (t *Transition) AcceptedAt(j chutetask.Job, occurrence int) time.Time {
	accepted := j.SeenAt
	if at, known := t.Environment.StoreClock.TimeOf(j.AcceptedAt); known && j.AcceptedAt > 0 && at.Before(accepted) {
		accepted = at
	}
	if j.SeenAt.After(t.LeaderSince.Add(maxRecordTime)) && j.SeenAt.Sub(accepted) > maxRecordTime {
		accepted = j.SeenAt.Add(-maxRecordTime) // the store's clock has jumped
	}
	if due := time.Unix(0, int64(j.Spec.Due(occurrence))); j.Spec.HasStartTimes() && due.After(accepted) {
		return due
	}
	return accepted
}

// Facts returns what the urgency of the job depends on, seen from a step of which all tasks are still to run.
func (t *Transition) Facts(j chutetask.Job, id chutegraph.StepID) chuteurgency.Facts {
	step := j.Step(id)
	f := chuteurgency.Facts{
		Priority: t.Priority(j), AcceptedAt: t.AcceptedAt(j, id.Occurrence), Cores: step.Request.Cores() * float64(step.Count),
	}
	// Objective and path are both scaled by the queue's median run time, so that wrong estimates alone make no job late.
	typical := t.Runtimes.Typical(j.Queue)
	if f.Objective = chuteurgency.Objective(j.Spec, j.Stretch*typical, j.Target); f.Objective > 0 {
		f.Path = time.Duration(float64(chuteurgency.Paths(j.Spec)[id.Step]) * typical)
	}
	return f
}

// Urgency returns the urgency of the job, seen from such a step.
func (t *Transition) Urgency(j chutetask.Job, id chutegraph.StepID) chuteurgency.Urgency {
	return chuteurgency.Of(t.Facts(j, id), t.Now)
}

// RecordRunTime records how long a run took that has done its whole task. Runs that resumed work, or that an earlier scheduler
// started, say nothing about that.
func (t *Transition) RecordRunTime(r chutepool.Run, kind chutetask.EndKind) {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok || kind != chutetask.EndDone || r.Inherited || r.StartedAt.IsZero() || r.ID.Number > 1 {
		return
	}
	if step := j.Step(r.ID.Task.StepID); !step.LongRunning {
		t.Runtimes = t.Runtimes.WithRun(j.Queue, step.Estimate, t.Now.Sub(r.StartedAt))
	}
}

// UsualRunTime returns how long runs of the service take, in the queue of it whose runs take longest: capacity that is in use is
// expected to become free within that time.
func (t *Transition) UsualRunTime(service string) time.Duration {
	longest := time.Duration(0)
	for _, q := range t.Environment.Catalog.Queues {
		if q.Service == service {
			longest = max(longest, t.Runtimes.Usual(q.Name))
		}
	}
	return longest
}
