package chuteintake

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutebacklog"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutequota"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetask"
)

// HandleCallArrived answers a call that needs no store at once, and sends a request to the store for any other call.
func (s State) HandleCallArrived(t *chuteaction.Transition, view View, e chuteaction.CallArrived) State {
	c := call{id: e.ID, arrivedAt: t.Now, deadline: e.Deadline}
	if !view.Catalog.Loaded() {
		return s.answer(t, c, chuteresult.New(chuteresult.NotReady, "no configuration has been read yet"), clientRetryDelay, nil)
	}
	if !view.CatalogCurrent {
		return s.answer(t, c, chuteresult.New(chuteresult.NotReady, "version %d may be out of date", view.Catalog.Version), clientRetryDelay, nil)
	}
	queue, jobID, ok := view.Catalog.Match(e.Host, e.Path)
	if !ok {
		return s.refuseByCatalog(t, c, view, chuteresult.New(chuteresult.UnknownQueue, "no queue for host %q and path %q", e.Host, e.Path))
	}
	c.queue = queue.Name
	owner, known := view.Catalog.KeyOwner(e.Key)
	if !known && !queue.Public {
		return s.refuseByCatalog(t, c, view, chuteresult.New(chuteresult.UnknownKey, "version %d has no such key", view.Catalog.Version))
	}
	if _, show := e.Call.(chuteaction.ShowJob); show && jobID == "" {
		pending, told := view.Pending[queue.Name]
		if !view.PendingCurrent || view.PendingPartial && !told {
			return s.answer(t, c, chuteresult.New(chuteresult.NotReady, "the number of pending jobs is not known"), clientRetryDelay, nil)
		}
		return s.answer(t, c, chuteresult.Result{Code: chuteresult.Done}, 0, chuteaction.QueueDepth{Pending: pending})
	}
	c.job = chutegraph.JobID(jobID)
	if !c.job.Valid() {
		return s.answer(t, c, chuteresult.New(chuteresult.Malformed, "job id: must be %d hexadecimal digits", chutegraph.JobIDLength), 0, nil)
	}
	if !view.StoreReachable {
		return s.answer(t, c, chuteresult.New(chuteresult.StoreUnavailable, "the store does not answer this host"), clientRetryDelay, nil)
	}
	switch request := e.Call.(type) {
	case chuteaction.SubmitJob:
		sub := NewSubmission(c.job, queue, owner, request.Spec)
		sub.AcceptedAt = view.StoreClock
		s.credit = s.credit.WithReport(view.Backlog.ID, view.Backlog.Report, view.Backlog.Hosts)
		return s.submit(t, c, owner, sub, request.ParseError)
	case chuteaction.ShowJob:
		return s.readProgress(t, c)
	case chuteaction.CancelJob:
		return s.readSubmission(t, c.withStage(stageFindJob))
	}
	return s
}

// refuseByCatalog answers a call that the configuration does not allow.
func (s State) refuseByCatalog(t *chuteaction.Transition, c call, view View, result chuteresult.Result) State {
	t.Log(component, "call refused by the configuration", "", "code", result.Code, "version", view.Catalog.Version, "age", view.CatalogAge)
	return s.answer(t, c, result, 0, nil)
}

// NewSubmission returns the submission of a job to the queue by the workspace.
func NewSubmission(id chutegraph.JobID, q chutecatalog.Queue, owner chutecatalog.Workspace, spec chutegraph.Spec) chutetask.Submission {
	return chutetask.Submission{
		ID: id, Queue: q.Name, Workspace: owner.Name, Service: q.Service, Priority: q.Priority, Attempts: q.Attempts,
		Stretch: q.Stretch, Target: q.Target, Spec: spec,
	}
}

func (s State) submit(t *chuteaction.Transition, c call, owner chutecatalog.Workspace, sub chutetask.Submission, parseError string) State {
	if parseError != "" {
		return s.answer(t, c, chuteresult.New(chuteresult.Malformed, "body: %s", parseError), 0, nil)
	}
	if err := sub.Spec.Check(); err != nil {
		return s.answer(t, c, chuteresult.FromError(err), 0, nil)
	}
	if refusal, beyond := BeyondQuota(sub.Spec, owner); beyond {
		return s.refuse(t, c, refusal)
	}
	credit, verdict := s.credit.Admit(owner.Name, chutebacklog.Cost(sub.Spec))
	if verdict != chutebacklog.VerdictAdmitted {
		t.Count("job-refused", verdict.String())
		refusal := chuteresult.New(chuteresult.Overloaded, "%s: unfinished jobs take the memory that they may take", verdict)
		return s.answer(t, c, refusal, backlogRetryDelay, nil)
	}
	s.credit = credit
	return s.send(t, c.withStage(stageRecordJob).withWrite(record(sub)))
}

// refuse answers that a job is not accepted and never runs, once that is certain: an earlier call may have recorded the job under
// another configuration, or its write may be on its way.
func (s State) refuse(t *chuteaction.Transition, c call, refusal chuteresult.Result) State {
	c.refusal = refusal
	return s.send(t, c.withStage(stageRefuseJob).withWrite(rejection(c.job)))
}

// BeyondQuota returns the result for a job that can never run within the quota of its workspace, and false for any other job.
func BeyondQuota(spec chutegraph.Spec, owner chutecatalog.Workspace) (chuteresult.Result, bool) {
	step, beyond := chutequota.StepBeyond(spec, owner)
	if !beyond {
		return chuteresult.Result{}, false
	}
	return beyondQuota(spec.Steps[step], step, owner), true
}

// beyondQuota returns the result for a job of which the step can never start within its workspace's quota.
func beyondQuota(step chutegraph.Step, index int, owner chutecatalog.Workspace) chuteresult.Result {
	need, what := step.Request, "a task"
	if step.Gang {
		need, what = need.Times(step.Count), "the gang"
	}
	return chuteresult.New(chuteresult.BeyondQuota, "%s of step %d needs cpu %d, mem_mb %d, gpu %d; the quota of %s is cpu %d, mem_mb %d, gpu %d (0: no limit)",
		what, index, need.Processor, need.Memory, need.Accelerators, owner.Name, owner.Limit.Processor, owner.Limit.Memory, owner.Limit.Accelerators)
}

// record returns the write that records a job, unless it is recorded or cancelled already.
func record(sub chutetask.Submission) chuteaction.WriteRows {
	key := chuteaction.SubmissionKey(sub.ID)
	return chuteaction.WriteRows{
		Conditions: []chuteaction.Condition{{RowKey: key}, {RowKey: chuteaction.CancelKey(sub.ID)}},
		Put:        []chuteaction.Row{{RowKey: key, Value: chuteaction.SubmissionRow{Submission: sub}}},
	}
}

func (s State) send(t *chuteaction.Transition, c call) State {
	c.write.Token = t.NewToken()
	t.Emit(c.write)
	s.tokens = s.tokens.Set(c.write.Token, c.id)
	return s.withCall(c)
}

func (s State) readProgress(t *chuteaction.Transition, c call) State {
	return s.read(t, c.withStage(stageReadProgress), chuteaction.ProgressKey(c.job), string(c.job)+"\x00")
}

func (s State) readSubmission(t *chuteaction.Transition, c call) State {
	key := chuteaction.SubmissionKey(c.job)
	key.Key = string(c.job) + "."
	return s.read(t, c, key, string(c.job)+"/")
}

func (s State) read(t *chuteaction.Transition, c call, from chuteaction.RowKey, to string) State {
	token := t.NewToken()
	t.Emit(chuteaction.ReadRows{Token: token, Table: from.Table, Partition: from.Partition, From: from.Key, To: to})
	s.tokens = s.tokens.Set(token, c.id)
	return s.withCall(c)
}
