package chuterow

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// form is the encoded form of a row: exactly one field is set.
type encodedRow struct {
	Submission *chutetask.Submission `cbor:"1,keyasint,omitempty"`
	Cancel     *chutegraph.JobID     `cbor:"2,keyasint,omitempty"`
	Progress   *encodedProgress      `cbor:"3,keyasint,omitempty"`
	Leader     *encodedLeader        `cbor:"4,keyasint,omitempty"`
	Host       *chuteaction.HostRow  `cbor:"6,keyasint,omitempty"`
}

type encodedProgress struct {
	_           struct{} `cbor:",toarray"`
	Job         chutegraph.JobID
	Phase       chutetask.Phase
	Occurrences [][][]encodedTask
	Finished    []bool
}

type encodedTask struct {
	_          struct{} `cbor:",toarray"`
	Phase      chutetask.TaskPhase
	Run        int
	Worker     chutetask.WorkerID
	Checkpoint string
	Failures   int
}

type encodedLeader struct {
	_        struct{} `cbor:",toarray"`
	Epoch    int64
	Host     string
	Process  string
	Sequence int64
	Released bool
	Pending  map[string]int
}

// Encode returns the encoded form of a row that entry hosts write, or an error for any other.
func Encode(value chuteaction.RowValue) ([]byte, error) {
	var f encodedRow
	switch v := value.(type) {
	case chuteaction.SubmissionRow:
		f.Submission = &v.Submission
	case chuteaction.CancelRow:
		f.Cancel = &v.Job
	case chuteaction.ProgressRow:
		f.Progress = encodeProgress(v)
	case chuteaction.LeaderRow:
		f.Leader = &encodedLeader{
			Epoch: v.Epoch, Host: v.Host, Process: v.Process, Sequence: v.Sequence, Released: v.Released, Pending: v.Pending,
		}
	case chuteaction.HostRow:
		f.Host = &v
	case chuteaction.CatalogRow, chuteaction.EvacuationRow, chuteaction.WaveRow, chuteaction.WaveStateRow, chuteaction.WorkerRow:
		return nil, errors.Errorf("row of type %T is not written by entry hosts", value)
	}
	body, err := cbor.Marshal(f)
	return body, errors.Wrap(err, "row")
}

// Decode returns the row of an encoded form, or an error if it cannot be read.
func Decode(body []byte) (chuteaction.RowValue, error) {
	var f encodedRow
	if err := cbor.Unmarshal(body, &f); err != nil {
		return nil, errors.Wrap(err, "row")
	}
	switch {
	case f.Submission != nil:
		return chuteaction.SubmissionRow{Submission: *f.Submission}, nil
	case f.Cancel != nil:
		return chuteaction.CancelRow{Job: *f.Cancel}, nil
	case f.Progress != nil:
		return f.Progress.decode(), nil
	case f.Leader != nil:
		l := f.Leader
		return chuteaction.LeaderRow{
			Epoch: l.Epoch, Host: l.Host, Process: l.Process, Sequence: l.Sequence, Released: l.Released, Pending: l.Pending,
		}, nil
	case f.Host != nil:
		return *f.Host, nil
	}
	return nil, errors.New("row: holds nothing that is known")
}

func encodeProgress(v chuteaction.ProgressRow) *encodedProgress {
	f := &encodedProgress{Job: v.Job, Phase: v.Phase, Finished: v.Finished, Occurrences: make([][][]encodedTask, len(v.Occurrences))}
	for k, steps := range v.Occurrences {
		if steps == nil {
			continue
		}
		f.Occurrences[k] = make([][]encodedTask, len(steps))
		for s, tasks := range steps {
			f.Occurrences[k][s] = make([]encodedTask, len(tasks))
			for i, t := range tasks {
				f.Occurrences[k][s][i] = encodedTask{Phase: t.Phase, Run: t.Run, Worker: t.Worker, Checkpoint: t.Checkpoint, Failures: t.Failures}
			}
		}
	}
	return f
}

func (f *encodedProgress) decode() chuteaction.ProgressRow {
	p := chutetask.Progress{Phase: f.Phase, Finished: f.Finished, Occurrences: make([][][]chutetask.Task, len(f.Occurrences))}
	for k, steps := range f.Occurrences {
		if steps == nil {
			continue
		}
		p.Occurrences[k] = make([][]chutetask.Task, len(steps))
		for s, tasks := range steps {
			p.Occurrences[k][s] = make([]chutetask.Task, len(tasks))
			for i, t := range tasks {
				p.Occurrences[k][s][i] = chutetask.Task{Phase: t.Phase, Run: t.Run, Worker: t.Worker, Checkpoint: t.Checkpoint, Failures: t.Failures}
			}
		}
	}
	return chuteaction.ProgressRow{Job: f.Job, Progress: p}
}
