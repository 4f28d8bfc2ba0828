package chuteform

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

// JobSpec is the JSON form of a job's specification. Errors of the decoder, which clients get, contain its name and
// that of Duration.
type JobSpec struct {
	Name            string   `json:"name"`
	Workspace       string   `json:"workspace"`
	Parts           int      `json:"parts"`
	Accelerators    int      `json:"accelerators"`
	Within          string   `json:"within"`
	Urgent          bool     `json:"urgent"`
	Repeatable      bool     `json:"repeatable"`
	Checkpoint      bool     `json:"checkpoint"`
	ExpectedRunTime Duration `json:"declared"`
	Command         string   `json:"command"`
}

// ParseJob reads a job's specification from JSON. The error is a result that names the field.
func ParseJob(text []byte) (chutejob.Spec, error) {
	var spec JobSpec
	if err := DecodeJSON(text, &spec); err != nil {
		return chutejob.Spec{}, chuteresult.New(chuteresult.Malformed, "job: %s", err.Error())
	}
	return spec.Spec()
}

// DecodeJSON reads one JSON value. It rejects unknown fields and any text after the value.
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

// Spec returns the specification, and a result that names the malformed field as the error if there is one.
func (f JobSpec) Spec() (chutejob.Spec, error) {
	level, ok := chutetopology.ParseLevel(f.Within)
	if !ok {
		return chutejob.Spec{}, chuteresult.New(chuteresult.Malformed, "within: %q is not worker, rack or zone", f.Within)
	}
	spec := chutejob.Spec{
		Name: f.Name, Workspace: f.Workspace, Urgent: f.Urgent, Repeatable: f.Repeatable, Checkpoint: f.Checkpoint,
		ExpectedRunTime: time.Duration(f.ExpectedRunTime), Command: f.Command,
		Shape: chutetopology.Shape{Parts: f.Parts, Accelerators: f.Accelerators, Within: level},
	}
	return spec, spec.Check()
}

// NewJobSpec returns the JSON form of the specification.
func NewJobSpec(s chutejob.Spec) JobSpec {
	return JobSpec{
		Name: s.Name, Workspace: s.Workspace, Parts: s.Shape.Parts, Accelerators: s.Shape.Accelerators,
		Within: s.Shape.Within.String(), Urgent: s.Urgent, Repeatable: s.Repeatable, Checkpoint: s.Checkpoint,
		ExpectedRunTime: Duration(s.ExpectedRunTime), Command: s.Command,
	}
}

// Part is the JSON form of one part of a job.
type Part struct {
	Worker       string `json:"worker"`
	Accelerators int    `json:"accelerators"`
	State        string `json:"state"`
}

// Job is the JSON form of a job.
type Job struct {
	ID            string     `json:"id"`
	Spec          JobSpec    `json:"spec"`
	Phase         string     `json:"phase"`
	Attempt       int        `json:"attempt"`
	Guaranteed    bool       `json:"guaranteed"`
	Parts         []Part     `json:"parts"`
	Submitted     time.Time  `json:"submitted"`
	Ended         *time.Time `json:"ended,omitempty"`
	RunTime       Duration   `json:"service"` // total run time of all ended attempts
	SavedProgress Duration   `json:"saved"`
	Outcome       *Outcome   `json:"outcome,omitempty"`
}

// Outcome is the JSON form of a result.
type Outcome struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Class  string `json:"class"`
	Detail string `json:"detail"`
}

// NewOutcome returns the JSON form of the result.
func NewOutcome(r chuteresult.Result) Outcome {
	return Outcome{Code: int(r.Code), Name: r.Code.String(), Class: r.Code.Class().String(), Detail: r.Detail}
}

var partStates = map[chutejob.PartState]string{
	chutejob.PartPending: "pending", chutejob.PartOrdered: "ordered", chutejob.PartRunning: "running",
	chutejob.PartDone: "done", chutejob.PartFailed: "failed", chutejob.PartStopped: "stopped",
}

// NewJob returns the JSON form of the job.
func NewJob(j chutejob.Job) Job {
	job := Job{
		ID: string(j.ID), Spec: NewJobSpec(j.Spec), Phase: j.Phase.String(), Attempt: j.Attempt, Guaranteed: j.Guaranteed,
		Submitted: j.SubmittedAt, RunTime: Duration(j.EarlierRunTime), SavedProgress: Duration(j.SavedProgress), Parts: []Part{},
	}
	for _, p := range j.Parts {
		job.Parts = append(job.Parts, Part{
			Worker: string(p.Block.Worker), Accelerators: p.Block.Mask.Count(), State: partStates[p.State],
		})
	}
	if !j.EndedAt.IsZero() {
		ended, outcome := j.EndedAt, NewOutcome(j.Result)
		job.Ended, job.Outcome = &ended, &outcome
	}
	return job
}
