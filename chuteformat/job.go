package chuteformat

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// JobSpec is a job's specification in JSON.
type JobSpec struct {
	Name         string   `json:"name"`
	Workspace    string   `json:"workspace"`
	Parts        int      `json:"parts"`
	Accelerators int      `json:"accelerators"`
	Within       string   `json:"within"`
	Urgent       bool     `json:"urgent"`
	Repeatable   bool     `json:"repeatable"`
	Checkpoint   bool     `json:"checkpoint"`
	Declared     Duration `json:"declared"`
	Command      string   `json:"command"`
}

// ParseJob reads a specification from JSON. The error is a result that names the field.
func ParseJob(text []byte) (chutejob.Spec, error) {
	var form JobSpec
	if err := DecodeJSON(text, &form); err != nil {
		return chutejob.Spec{}, chuteresult.New(chuteresult.Malformed, "job: %s", err.Error())
	}
	return form.Spec()
}

// DecodeJSON reads one JSON value and refuses unknown fields and anything behind it.
func DecodeJSON(text []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.WithStack(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows the value")
	}
	return nil
}

// Spec returns the specification, or a result that names the field at fault.
func (f JobSpec) Spec() (chutejob.Spec, error) {
	level, ok := chutetopology.ParseLevel(f.Within)
	if !ok {
		return chutejob.Spec{}, chuteresult.New(chuteresult.Malformed, "within: %q is not worker, rack or zone", f.Within)
	}
	spec := chutejob.Spec{
		Name: f.Name, Workspace: f.Workspace, Urgent: f.Urgent, Repeatable: f.Repeatable, Checkpoint: f.Checkpoint,
		ExpectedRunTime: time.Duration(f.Declared), Command: f.Command,
		Shape: chutetopology.Shape{Parts: f.Parts, Accelerators: f.Accelerators, Within: level},
	}
	return spec, spec.Check()
}

// FormOfSpec returns the specification in its JSON form.
func FormOfSpec(s chutejob.Spec) JobSpec {
	return JobSpec{
		Name: s.Name, Workspace: s.Workspace, Parts: s.Shape.Parts, Accelerators: s.Shape.Accelerators,
		Within: s.Shape.Within.String(), Urgent: s.Urgent, Repeatable: s.Repeatable, Checkpoint: s.Checkpoint,
		Declared: Duration(s.ExpectedRunTime), Command: s.Command,
	}
}

// Part is one part of a job in JSON.
type Part struct {
	Worker       string `json:"worker"`
	Accelerators int    `json:"accelerators"`
	State        string `json:"state"`
}

// Job is a job in JSON.
type Job struct {
	ID         string     `json:"id"`
	Spec       JobSpec    `json:"spec"`
	Phase      string     `json:"phase"`
	Attempt    int        `json:"attempt"`
	Guaranteed bool       `json:"guaranteed"`
	Parts      []Part     `json:"parts"`
	Submitted  time.Time  `json:"submitted"`
	Ended      *time.Time `json:"ended,omitempty"`
	Service    Duration   `json:"service"` // run time of attempts that are over
	Saved      Duration   `json:"saved"`
	Outcome    *Outcome   `json:"outcome,omitempty"`
}

// Outcome is a result in JSON.
type Outcome struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Class  string `json:"class"`
	Detail string `json:"detail"`
}

// FormOfResult returns the result in its JSON form.
func NewOutcome(r chuteresult.Result) Outcome {
	return Outcome{Code: int(r.Code), Name: r.Code.String(), Class: r.Code.Class().String(), Detail: r.Detail}
}

var partStates = map[chutejob.PartState]string{
	chutejob.PartPending: "pending", chutejob.PartOrdered: "ordered", chutejob.PartRunning: "running",
	chutejob.PartDone: "done", chutejob.PartFailed: "failed", chutejob.PartStopped: "stopped",
}

// FormOfJob returns the job in its JSON form.
func FormOfJob(j chutejob.Job) Job {
	form := Job{
		ID: string(j.ID), Spec: FormOfSpec(j.Spec), Phase: j.Phase.String(), Attempt: j.Attempt, Guaranteed: j.Guaranteed,
		Submitted: j.SubmittedAt, Service: Duration(j.EarlierRunTime), Saved: Duration(j.SavedProgress), Parts: []Part{},
	}
	for _, p := range j.Parts {
		form.Parts = append(form.Parts, Part{
			Worker: string(p.Block.Worker), Accelerators: p.Block.Mask.Count(), State: partStates[p.State],
		})
	}
	if !j.EndedAt.IsZero() {
		ended, outcome := j.EndedAt, NewOutcome(j.Result)
		form.Ended, form.Outcome = &ended, &outcome
	}
	return form
}
