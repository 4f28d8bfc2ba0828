package chuterow

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// encodedPart is the head of a row with some of the tasks of a job. The tasks themselves are encoded beside it like those of a
// progress, in which each range is a step of the only occurrence.
type encodedPart struct {
	_      struct{} `cbor:",toarray"`
	Job    chutegraph.JobID
	Number int
	Ranges []encodedRange
}

type encodedRange struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	First      int
}

// encodePart returns the head of the row, and the progress that its tasks are encoded as.
func encodePart(v chuteaction.ProgressPartRow) (*encodedPart, chuteaction.ProgressRow) {
	e := &encodedPart{Job: v.Job, Number: v.Number}
	tasks := chuteaction.ProgressRow{Job: v.Job}
	if len(v.Ranges) == 0 {
		return e, tasks
	}
	steps := make([][]chutetask.Task, len(v.Ranges))
	for i, r := range v.Ranges {
		e.Ranges = append(e.Ranges, encodedRange{Occurrence: r.Occurrence, Step: r.Step, First: r.First})
		steps[i] = r.Tasks
	}
	tasks.Occurrences = [][][]chutetask.Task{steps}
	return e, tasks
}

// decode returns the row with the tasks of the progress. Ranges without tasks there are left empty.
func (e *encodedPart) decode(tasks chuteaction.ProgressRow) chuteaction.ProgressPartRow {
	row := chuteaction.ProgressPartRow{Job: e.Job, Number: e.Number}
	for i, r := range e.Ranges {
		decoded := chutetask.Range{Occurrence: r.Occurrence, Step: r.Step, First: r.First}
		if len(tasks.Occurrences) == 1 && i < len(tasks.Occurrences[0]) {
			decoded.Tasks = tasks.Occurrences[0][i]
		}
		row.Ranges = append(row.Ranges, decoded)
	}
	return row
}
