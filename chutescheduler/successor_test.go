package chutescheduler_test

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutescheduler"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	jobID    = chutegraph.JobID("00000000000000aa")
	workerID = chutetask.WorkerID("worker")
	epoch    = 2
)

// successor drives a scheduler that has just taken over, and keeps its effects.
type successor struct {
	state   chutescheduler.State
	now     time.Time
	token   chuteaction.Token
	effects []chuteaction.Effect
}

func newSuccessor(predecessor chuteleader.Predecessor) *successor {
	s := &successor{now: time.Unix(1_800_000_000, 0)}
	predecessor.ObservedAt = s.now
	bounds := chuteledger.Bounds{MaxLease: 6 * time.Second, UnconfirmedLimit: chuteleader.UnconfirmedLimit, HeartbeatInterval: 1500 * time.Millisecond}
	s.handle(0, func(t *chuteaction.Transition, _ chuteledger.Environment) {
		row := chuteaction.LeaderRow{Epoch: epoch, Handover: chuteaction.Handover{FinalLeases: predecessor.Row.Handover.FinalLeases}}
		s.state = chutescheduler.New(t, row, predecessor, bounds)
	})
	return s
}

func released() chuteleader.Predecessor {
	return chuteleader.Predecessor{Row: chuteaction.LeaderRow{Epoch: epoch - 1, Released: true}}
}

func (s *successor) handle(after time.Duration, act func(*chuteaction.Transition, chuteledger.Environment)) {
	s.now = s.now.Add(after)
	t := chuteaction.NewTransition(s.now, s.token)
	act(t, chuteledger.Environment{ConfirmedAt: s.now})
	s.token = t.LastToken()
	s.effects = append(s.effects, t.Effects...)
}

// answerReads answers the reads of the table that have had no answer yet.
func (s *successor) answerReads(table chuteaction.Table, rows ...chuteaction.Row) {
	for _, effect := range s.effects {
		if read, ok := effect.(chuteaction.ReadRows); ok && read.Table == table && s.state.Owns(read.Token) {
			s.handle(0, func(t *chuteaction.Transition, environment chuteledger.Environment) {
				s.state = s.state.HandleRowsRead(t, environment, chuteaction.RowsRead{Token: read.Token, Outcome: chuteaction.StoreDone, Rows: rows})
			})
		}
	}
}

// watch returns the token of the latest watch of the table, or that of an earlier scheduler's.
func (s *successor) watch(table chuteaction.Table) chuteaction.Token {
	token := chuteaction.Token(0)
	for _, effect := range s.effects {
		if w, ok := effect.(chuteaction.WatchTable); ok && w.Table == table {
			token = w.Watch
		}
	}
	return token
}

func (s *successor) submissions(complete bool, rows ...chuteaction.Row) {
	s.handle(0, func(t *chuteaction.Transition, environment chuteledger.Environment) {
		s.state = s.state.HandleSubmissions(t, environment, chuteaction.TableChanged{Watch: s.watch(chuteaction.TableJobs), Table: chuteaction.TableJobs, Complete: complete, Rows: rows})
	})
}

func (s *successor) listWorker() {
	s.answerPoll(0, true, entry(1))
}

// answerPoll delivers an answer about the table of workers that the store gave some time ago, as soon as it was asked.
func (s *successor) answerPoll(age time.Duration, complete bool, rows ...chuteaction.Row) {
	s.answerHeldPoll(0, age, complete, rows...)
}

// answerHeldPoll does the same after the store has held the request.
func (s *successor) answerHeldPoll(hold, age time.Duration, complete bool, rows ...chuteaction.Row) {
	s.handle(0, func(t *chuteaction.Transition, environment chuteledger.Environment) {
		s.state = s.state.HandleWorkers(t, environment, chuteaction.TableChanged{
			Watch: s.watch(chuteaction.TableWorkers), Table: chuteaction.TableWorkers, SentAt: s.now.Add(-age - hold), HeldFor: hold,
			StoreClock: time.Duration(s.now.UnixNano()) - age, Complete: complete, Rows: rows,
		})
	})
}

// entry returns a version of the worker's entry in the list of workers.
func entry(version chuteaction.RowVersion) chuteaction.Row {
	listing := chutepool.Listing{
		ID: workerID, Service: "main", Address: "10.0.0.1:1", Incarnation: 1,
		Capacity: chutecapacity.Resources{Processor: 8000, Memory: 8000, Accelerators: 8},
	}
	key := chuteaction.RowKey{Table: chuteaction.TableWorkers, Key: string(workerID)}
	return chuteaction.Row{RowKey: key, Version: version, Value: chuteaction.WorkerRow{Listing: listing}}
}

// tick advances the time in ticks of 50 ms.
func (s *successor) tick(span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.handle(50*time.Millisecond, func(t *chuteaction.Transition, environment chuteledger.Environment) {
			s.state = s.state.Tick(t, environment)
		})
	}
}

// report lets the worker answer a renewal that was sent just now.
func (s *successor) report(incarnation int64, running []chutetask.RunReport, ended []chutetask.RunEnd) {
	s.handle(time.Millisecond, func(t *chuteaction.Transition, environment chuteledger.Environment) {
		s.state, _ = s.state.HandleLeaseRenewed(t, environment, chuteaction.LeaseRenewed{
			Epoch: epoch, Worker: workerID, SentAt: s.now, Outcome: chuteaction.OrderAccepted,
			Clock: time.Duration(s.now.UnixMilli()%100_000) * time.Millisecond, Incarnation: incarnation, Running: running, Ended: ended,
		})
	})
}

// flush returns the progress of the job in the next write, and false if the write does not hold any.
func (s *successor) flush() (chuteaction.ProgressRow, bool) {
	var rows []chuteaction.Row
	s.state, rows = s.state.Flush(10)
	for _, r := range rows {
		if row, ok := r.Value.(chuteaction.ProgressRow); ok && row.Job == jobID {
			return row, true
		}
	}
	return chuteaction.ProgressRow{}, false
}

func submission(count int) chutetask.Submission {
	request := chutecapacity.Resources{Processor: 1000, Memory: 1000, Accelerators: 1}
	return chutetask.Submission{ID: jobID, Service: "main", Attempts: 3, Spec: chutegraph.Spec{Steps: []chutegraph.Step{{Count: count, Request: request}}}}
}

func submissionRow(count int) chuteaction.Row {
	return chuteaction.Row{RowKey: chuteaction.SubmissionKey(jobID), Version: 5, Value: chuteaction.SubmissionRow{Submission: submission(count)}}
}

func runID(index int) chutegraph.RunID {
	return chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: jobID}, Index: index}, Number: 1}
}

// recordedRow returns the row of a job whose tasks have their first run on the worker, in the phase.
func recordedRow(count int, phase chutetask.TaskPhase) chuteaction.Row {
	j := chutetask.New(submission(count), 5, time.Time{}).WithOccurrenceBegun(0).WithPhase(chutetask.PhaseRunning)
	for i := range count {
		j = j.WithTask(runID(i).Task, chutetask.Task{}.WithRun(1, workerID).WithPhase(phase))
	}
	if phase == chutetask.TaskDone {
		j = j.WithCompletion(0)
	}
	return chuteaction.Row{RowKey: chuteaction.ProgressKey(jobID), Version: 9, Value: chuteaction.ProgressRow{Job: jobID, Progress: j.Progress}}
}

// contactWorker lists the worker, which runs nothing, and lets planning passes follow.
func (s *successor) contactWorker() {
	s.listWorker()
	s.tick(200 * time.Millisecond)
	s.report(1, nil, nil)
	s.tick(2 * time.Second)
}
