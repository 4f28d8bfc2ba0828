package chutegraph

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job        JobID `json:"job"`
	Occurrence int   `json:"occurrence"`
	Step       int   `json:"step"`
}

// String returns the id in the form JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step)
}

// Compare orders ids by job, occurrence and step.
func (s StepID) Compare(o StepID) int {
	if order := strings.Compare(string(s.Job), string(o.Job)); order != 0 {
		return order
	}
	return cmp.Or(cmp.Compare(s.Occurrence, o.Occurrence), cmp.Compare(s.Step, o.Step))
}

// StepOrder orders steps by their ids.
type StepOrder struct{}

// Compare returns -1, 0 or 1 if the first id comes before, is or comes after the second.
func (StepOrder) Compare(a, b StepID) int {
	return a.Compare(b)
}

// TaskID names one task of a step.
type TaskID struct {
	StepID
	Index int `json:"index"`
}

// String returns the id in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d", t.StepID, t.Index)
}

// Compare orders ids by step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(t.StepID.Compare(o.StepID), cmp.Compare(t.Index, o.Index))
}

// ParseTask reads an id of the form JOB.OCCURRENCE.STEP.INDEX.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || !JobID(parts[0]).Valid() {
		return TaskID{}, errors.Errorf("task id %q is not JOB.OCCURRENCE.STEP.INDEX", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, errors.Errorf("task id %q has a part that is no number", text)
		}
		numbers[i] = n
	}
	step := StepID{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1]}
	return TaskID{StepID: step, Index: numbers[2]}, nil
}

// RunID names one run of a task.
type RunID struct {
	Task   TaskID `json:"task"`
	Number int    `json:"number"` // 1 for the first
}

// String returns the id in the form TASK/NUMBER.
func (r RunID) String() string {
	return fmt.Sprintf("%s/%d", r.Task, r.Number)
}

// Compare orders ids by task and number.
func (r RunID) Compare(o RunID) int {
	return cmp.Or(r.Task.Compare(o.Task), cmp.Compare(r.Number, o.Number))
}
