package chuteexplain

import (
	"math"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteintake"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chuteplanner"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
	"monsoonchute.example/monsoonchute/chutewait"
)

const (
	// maxSteps is the largest number of steps in an explanation.
	maxSteps = 32
	// maxForecasts is the largest number of steps whose earliest start is searched for. Each search tries several times whether
	// the step fits.
	maxForecasts = 4
	// maxAhead is the largest number of jobs that an explanation names as being ahead.
	maxAhead = 8
	// trialID is the id of a job that is not submitted, in the trial. No submitted job has it, since it is not hexadecimal.
	trialID chutegraph.JobID = "trial"
)

// View is the state of a scheduler that explanations are made from.
type View struct {
	Now         time.Time
	Ledger      chuteledger.State
	Environment chuteledger.Environment
	Planner     chuteplanner.Planner
}

// explainer is a job and the trial of a planning pass with it.
type explainer struct {
	before chutetask.Job
	after  *chuterunner.Transition // discarded with its effects
	trial  chuteplanner.Trial
	// capacity and forecast serve all steps that wait: a view of all workers takes most of the time of an explanation.
	capacity *chutewait.View
	forecast *forecast
}

// Explain returns what a planning pass would decide now about the requested job, and why the tasks that it would not start wait. It
// changes nothing. The error is a chuteresult.Result.
func Explain(v View, e chuteaction.ExplainRequested) (chuteaction.JobExplanation, error) {
	t := chuterunner.NewTransition(chuteaction.NewTransition(v.Now, 0), v.Ledger, v.Environment)
	job, err := requestedJob(t, e)
	if err != nil {
		return chuteaction.JobExplanation{}, err
	}
	if e.Job == "" {
		t.PutRecordedJob(job)
	}
	explanation := chuteaction.JobExplanation{
		Job: e.Job, Queue: job.Queue, Workspace: job.Workspace, Phase: job.Phase, Priority: t.Priority(job),
		Age: chuteaction.DataAge{Workers: t.List.Age(t.Now), Progress: progressAge(t, t.Service(job))},
	}
	if job.Phase.Ended() {
		return explanation, nil
	}
	trial, ok := v.Planner.Try(t)
	if !ok {
		return chuteaction.JobExplanation{}, chuteresult.New(chuteresult.NotReady, "not all workers have reported what they run")
	}
	x := explainer{before: job, after: t, trial: trial, capacity: chutewait.NewView(t.Transition, trial.Quotas), forecast: newForecast(t)}
	explanation.JobsAhead, explanation.Ahead = x.ahead()
	explanation.Steps, explanation.MoreSteps = x.steps()
	return explanation, nil
}

// requestedJob returns the known job of the id, or the job that is not submitted.
func requestedJob(t *chuterunner.Transition, e chuteaction.ExplainRequested) (chutetask.Job, error) {
	if e.Job != "" {
		if j, ok := t.Job(e.Job); ok {
			return j, nil
		}
		return chutetask.Job{}, chuteresult.New(chuteresult.UnknownJob, "the leader knows no job of this id")
	}
	if e.ParseError != "" {
		return chutetask.Job{}, chuteresult.New(chuteresult.Malformed, "body: %s", e.ParseError)
	}
	if err := e.Spec.Check(); err != nil {
		return chutetask.Job{}, chuteresult.FromError(err)
	}
	queue, ok := t.Environment.Catalog.Queue(e.Queue)
	if !ok {
		return chutetask.Job{}, chuteresult.New(chuteresult.UnknownQueue, "no queue %q", e.Queue)
	}
	owner, ok := t.Environment.Catalog.Workspace(e.Workspace)
	if !ok && e.Workspace != "" {
		return chutetask.Job{}, chuteresult.New(chuteresult.NotFound, "no workspace %q", e.Workspace)
	}
	if refusal, beyond := chuteintake.BeyondQuota(e.Spec, owner); beyond {
		return chutetask.Job{}, refusal
	}
	j := chutetask.New(chuteintake.NewSubmission(trialID, queue, owner, e.Spec), math.MaxInt64, t.Now)
	for k := range j.Occurrences {
		if j.Spec.Due(k) <= time.Duration(t.Now.UnixNano()) {
			j = j.WithOccurrenceBegun(k)
		}
	}
	return j, nil
}

// progressAge returns the age of the oldest report among those on the running tasks on workers of the service.
func progressAge(t *chuterunner.Transition, service string) time.Duration {
	var age time.Duration
	for _, w := range t.Pool.All() {
		if w.Service != service {
			continue
		}
		for _, r := range w.Runs() {
			if r.Phase == chutepool.RunStarted && !r.ProgressReadAt.IsZero() {
				age = max(age, t.Now.Sub(r.ProgressReadAt))
			}
		}
	}
	return age
}

// ahead returns how many other jobs of the service the pass serves before the job, and the first of them. Without a demand of the
// job, there are none.
func (x explainer) ahead() (int, []chutegraph.JobID) {
	first := slices.IndexFunc(x.trial.Demands, func(d chutedemand.Demand) bool { return d.ID.Job == x.before.ID })
	if first < 0 {
		return 0, nil
	}
	var jobs []chutegraph.JobID
	seen := make(map[chutegraph.JobID]bool)
	for _, d := range x.trial.Demands[:first] {
		if d.Service == x.trial.Demands[first].Service && !seen[d.ID.Job] {
			seen[d.ID.Job] = true
			jobs = append(jobs, d.ID.Job)
		}
	}
	return len(jobs), jobs[:min(len(jobs), maxAhead)]
}

// steps returns the explanations of the first steps with waiting tasks, and the number of the others.
func (x explainer) steps() ([]chuteaction.StepExplanation, int) {
	var steps []chuteaction.StepExplanation
	more := 0
	for k, tasks := range x.before.Occurrences {
		if !x.before.Begun(k) {
			due := x.before.Spec.Due(k) - time.Duration(x.after.Now.UnixNano())
			id := chutegraph.StepID{Job: x.before.ID, Occurrence: k}
			return append(steps, chuteaction.StepExplanation{Step: id, Reason: "start-time", Earliest: due, EarliestKnown: true}), more
		}
		for s := range tasks {
			step, waits := x.step(chutegraph.StepID{Job: x.before.ID, Occurrence: k, Step: s}, len(steps))
			switch {
			case !waits:
			case len(steps) < maxSteps:
				steps = append(steps, step)
			default:
				more++
			}
		}
	}
	return steps, more
}

// step returns the explanation of a step after so many earlier ones, and false if none of its tasks waits. Beyond maxSteps, it is
// empty.
func (x explainer) step(id chutegraph.StepID, earlier int) (chuteaction.StepExplanation, bool) {
	e := chuteaction.StepExplanation{Step: id}
	var left []int
	for i, task := range x.before.Tasks(id) {
		switch task.Phase {
		case chutetask.TaskWaiting:
			e.Waiting++
			after, _ := x.after.Job(id.Job)
			if planned, _ := after.Task(chutegraph.TaskID{StepID: id, Index: i}); planned.Phase == chutetask.TaskActive {
				e.Starts = append(e.Starts, chuteaction.TaskPlacement{Index: i, Worker: planned.Worker})
				continue
			}
			left = append(left, i)
		case chutetask.TaskActive:
			e.Active++
		case chutetask.TaskDone:
		}
	}
	if e.Waiting == 0 || earlier >= maxSteps {
		return e, e.Waiting > 0
	}
	for _, i := range left {
		if worker, kept := x.trial.Nominated[id][i]; kept {
			e.Kept = append(e.Kept, chuteaction.TaskPlacement{Index: i, Worker: worker})
		}
	}
	for _, decision := range x.trial.Decisions {
		if d, evicts := decision.(chuteplacement.Evict); evicts && d.For == id {
			e.Evicts = append(e.Evicts, d.Run)
		}
	}
	if len(left) > 0 {
		x.explainWait(&e, left, earlier < maxForecasts)
	}
	return e, true
}

// explainWait sets why the tasks of the step that are left wait and, with forecasts, when the first of them may start.
func (x explainer) explainWait(e *chuteaction.StepExplanation, left []int, forecasts bool) {
	isStep := func(d chutedemand.Demand) bool { return d.ID == e.Step }
	i := slices.IndexFunc(x.trial.Demands, isStep)
	queue, _ := x.after.Environment.Catalog.Queue(x.before.Queue)
	switch {
	case x.after.SetAside[x.before.ID]:
		e.Reason = "not-recorded"
	case !x.before.StepReady(e.Step):
		e.Reason = "earlier-steps"
	case i >= 0:
		d := x.trial.Demands[i]
		d.Indexes = left
		e.Reason = x.capacity.Reason(d)
		if len(e.Kept) > 0 {
			e.Reason = "kept-for-it"
		}
		if forecasts && e.Reason != "limit" && e.Reason != "too-large" && e.Reason != "kept-for-others" {
			e.Earliest, e.EarliestKnown = x.forecast.earliestStart(d)
		}
	case slices.ContainsFunc(x.trial.Quarantined, isStep):
		e.Reason = "quarantine"
	case queue.Approval != nil:
		e.Reason = "approval"
	default: // after crashes, while other members of a gang end, or while the row of its job is full
		e.Reason = "not-due"
	}
}
