package chuterow

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutebacklog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// encodedRow is the CBOR form of a row: exactly one field is set, but for those that are only beside Progress or Leader.
type encodedRow struct {
	Submission *chutetask.Submission `cbor:"1,keyasint,omitempty"`
	Cancel     *chutegraph.JobID     `cbor:"2,keyasint,omitempty"`
	Progress   *encodedProgress      `cbor:"3,keyasint,omitempty"`
	Placements []encodedPlacement    `cbor:"7,keyasint,omitempty"`
	Failures   []encodedFailures     `cbor:"8,keyasint,omitempty"`
	// Incarnations are those of the workers of active tasks without an entry in Placements; see encodeIncarnations.
	Incarnations []byte               `cbor:"9,keyasint,omitempty"`
	CrashDetails []byte               `cbor:"10,keyasint,omitempty"` // of the crashes in Placements; see encodeCrashDetails
	Begun        []byte               `cbor:"11,keyasint,omitempty"` // see encodeBegun
	Leader       *encodedLeader       `cbor:"4,keyasint,omitempty"`
	Handover     *encodedHandover     `cbor:"12,keyasint,omitempty"` // beside Leader
	Backlog      *encodedBacklog      `cbor:"13,keyasint,omitempty"` // beside Leader
	Parts        int                  `cbor:"14,keyasint,omitempty"` // beside Progress, if its tasks are in rows of their own
	Part         *encodedPart         `cbor:"15,keyasint,omitempty"` // beside Progress, which holds some tasks of a job
	Partial      bool                 `cbor:"16,keyasint,omitempty"` // beside Leader: it leaves out pending jobs
	Unbegun      bool                 `cbor:"17,keyasint,omitempty"` // beside Progress; rows of older hosts lack it
	CountedAtMS  int64                `cbor:"18,keyasint,omitempty"` // beside Leader
	Host         *chuteaction.HostRow `cbor:"6,keyasint,omitempty"`
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

type encodedBacklog struct {
	_     struct{} `cbor:",toarray"`
	Limit int64
	Used  int64
	Heavy map[string]int64
}

// encodeBacklog returns nil for a report without a limit.
func encodeBacklog(r chutebacklog.Report) *encodedBacklog {
	if r.Limit <= 0 {
		return nil
	}
	return &encodedBacklog{Limit: r.Limit, Used: r.Used, Heavy: r.Heavy}
}

func (e *encodedBacklog) decode() chutebacklog.Report {
	if e == nil {
		return chutebacklog.Report{}
	}
	return chutebacklog.Report{Limit: e.Limit, Used: e.Used, Heavy: e.Heavy}
}

// Encode returns the CBOR encoding of a row that entry hosts write, or an error for a row of any other type.
func Encode(value chuteaction.RowValue) ([]byte, error) {
	var e encodedRow
	switch v := value.(type) {
	case chuteaction.SubmissionRow:
		e.Submission = &v.Submission
	case chuteaction.CancelRow:
		e.Cancel = &v.Job
	case chuteaction.ProgressRow:
		e.setProgress(v)
		e.Parts = v.Parts
	case chuteaction.ProgressPartRow:
		part, tasks := encodePart(v)
		e.setProgress(tasks)
		e.Part = part
	case chuteaction.LeaderRow:
		e.Leader = &encodedLeader{
			Epoch: v.Epoch, Host: v.Host, Process: v.Process, Sequence: v.Sequence, Released: v.Released, Pending: v.Pending,
		}
		e.Handover = encodeHandover(v.Handover)
		e.Backlog = encodeBacklog(v.Backlog)
		e.Partial, e.CountedAtMS = v.Partial, v.CountedAt.Milliseconds()
	case chuteaction.HostRow:
		e.Host = &v
	case chuteaction.CatalogRow, chuteaction.EvacuationRow, chuteaction.WaveRow, chuteaction.WaveStateRow, chuteaction.WorkerRow:
		return nil, errors.Errorf("row of type %T is not written by entry hosts", value)
	}
	body, err := cbor.Marshal(e)
	return body, errors.Wrap(err, "row")
}

// setProgress sets the fields that hold the progress of a job.
func (e *encodedRow) setProgress(v chuteaction.ProgressRow) {
	e.Progress = encodeProgress(v)
	e.Unbegun = v.Unbegun
	e.Placements = encodePlacements(v)
	e.Failures = encodeFailures(v)
	e.Incarnations = encodeIncarnations(v)
	e.CrashDetails = encodeCrashDetails(v)
	e.Begun = encodeBegun(v)
}

// progress returns the progress of a job that the fields hold.
func (e *encodedRow) progress() chuteaction.ProgressRow {
	row := e.Progress.decode()
	row.Unbegun = e.Unbegun
	decodeIncarnations(e.Incarnations, row.Progress)
	for _, p := range e.Placements {
		p.apply(row.Progress)
	}
	decodeCrashDetails(e.CrashDetails, row.Progress)
	decodeBegun(e.Begun, row.Progress)
	for _, f := range e.Failures {
		f.apply(row.Progress)
	}
	return row
}

// Decode returns the row that Encode encoded, or an error if the body is malformed or holds a row of unknown type.
func Decode(body []byte) (chuteaction.RowValue, error) {
	var e encodedRow
	if err := cbor.Unmarshal(body, &e); err != nil {
		return nil, errors.Wrap(err, "row")
	}
	switch {
	case e.Submission != nil:
		return chuteaction.SubmissionRow{Submission: *e.Submission}, nil
	case e.Cancel != nil:
		return chuteaction.CancelRow{Job: *e.Cancel}, nil
	case e.Progress != nil && e.Part != nil:
		return e.Part.decode(e.progress()), nil
	case e.Progress != nil:
		row := e.progress()
		row.Parts = max(0, e.Parts)
		return row, nil
	case e.Leader != nil:
		l := e.Leader
		return chuteaction.LeaderRow{
			Epoch: l.Epoch, Host: l.Host, Process: l.Process, Sequence: l.Sequence, Released: l.Released, Pending: l.Pending,
			Partial: e.Partial, CountedAt: time.Duration(e.CountedAtMS) * time.Millisecond,
			Handover: e.Handover.decode(), Backlog: e.Backlog.decode(),
		}, nil
	case e.Host != nil:
		return *e.Host, nil
	}
	return nil, errors.New("row: body holds no row of a known type")
}

// DecodeUnder returns the row that Encode encoded under the key. It returns an error if the body is malformed or holds a row that
// belongs under another key.
func DecodeUnder(key chuteaction.RowKey, body []byte) (chuteaction.RowValue, error) {
	value, err := Decode(body)
	if err != nil {
		return nil, err
	}
	var own chuteaction.RowKey
	switch v := value.(type) {
	case chuteaction.SubmissionRow:
		own = chuteaction.SubmissionKey(v.ID)
	case chuteaction.CancelRow:
		own = chuteaction.CancelKey(v.Job)
	case chuteaction.ProgressRow:
		own = chuteaction.ProgressKey(v.Job)
	case chuteaction.ProgressPartRow:
		own = chuteaction.ProgressPartKey(v.Job, v.Number)
	case chuteaction.LeaderRow:
		own = chuteaction.LeaderKey()
	case chuteaction.HostRow:
		own = chuteaction.HostKey(v.Host)
	case chuteaction.CatalogRow, chuteaction.EvacuationRow, chuteaction.WaveRow, chuteaction.WaveStateRow, chuteaction.WorkerRow:
		return nil, errors.Errorf("row of type %T is not written by entry hosts", value)
	}
	if own != key {
		return nil, errors.Errorf("row of type %T belongs under the key %q, not %q", value, own.Key, key.Key)
	}
	return value, nil
}

func encodeProgress(v chuteaction.ProgressRow) *encodedProgress {
	e := &encodedProgress{Job: v.Job, Phase: v.Phase, Finished: v.Finished, Occurrences: make([][][]encodedTask, len(v.Occurrences))}
	for k, steps := range v.Occurrences {
		if steps == nil {
			continue
		}
		e.Occurrences[k] = make([][]encodedTask, len(steps))
		for s, tasks := range steps {
			e.Occurrences[k][s] = make([]encodedTask, len(tasks))
			for i, t := range tasks {
				e.Occurrences[k][s][i] = encodedTask{Phase: t.Phase, Run: t.Run, Worker: t.Worker, Checkpoint: t.Checkpoint, Failures: t.Failures}
			}
		}
	}
	return e
}

func (e *encodedProgress) decode() chuteaction.ProgressRow {
	p := chutetask.Progress{Phase: e.Phase, Finished: e.Finished, Occurrences: make([][][]chutetask.Task, len(e.Occurrences))}
	for k, steps := range e.Occurrences {
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
	return chuteaction.ProgressRow{Job: e.Job, Progress: p}
}
