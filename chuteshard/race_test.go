package chuteshard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chuteshard"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const jobID = chutejob.ID("0000-j")

// owner drives the owner of a shard with one worker, which answers nothing. Its writes wait until the test commits them.
type owner struct {
	state       chuteshard.State
	environment chuteshard.Environment
	lastCall    chuteevent.CallID
	replies     map[chuteevent.CallID]chutecall.Reply
	writes      []chuteevent.CommitTable
}

func newOwner() *owner {
	document := chutedocument.New()
	document.Workspaces = []chutedocument.Workspace{{Name: "team"}}
	o := &owner{replies: make(map[chuteevent.CallID]chutecall.Reply), environment: chuteshard.Environment{
		Now: time.Unix(1_800_000_000, 0), BootID: "b", Document: document, LeaseValid: true, MayStart: true, StoreUp: true,
		Topology: chutetopology.New([]chutetopology.Worker{{ID: "w", Rack: "r", Zone: "z", Accelerators: 8}}),
	}}
	state, effects := chuteshard.New(0, 1, 1, o.environment)
	o.state = state
	for _, effect := range effects {
		if read, ok := effect.(chuteevent.ReadTable); ok {
			o.apply(o.state.HandleTableEvent(o.environment, chuteevent.TableRead{Token: read.Token}))
		}
	}
	return o
}

func (o *owner) apply(outcome chuteshard.Outcome) {
	o.state = outcome.State
	for _, effect := range outcome.Effects {
		switch f := effect.(type) {
		case chuteevent.CommitTable:
			o.writes = append(o.writes, f)
		case chuteevent.AnswerCall:
			o.replies[f.ID] = f.Reply
		default:
		}
	}
}

func (o *owner) call(call chutecall.ShardCall) chuteevent.CallID {
	o.lastCall++
	o.apply(o.state.Call(o.environment, chuteevent.Origin{ID: o.lastCall}, call))
	return o.lastCall
}

func (o *owner) submit() chuteevent.CallID {
	shape := chutetopology.Shape{Parts: 1, Accelerators: 1, Within: chutetopology.LevelWorker}
	return o.call(chutecall.SubmitJob{Job: jobID, Spec: chutejob.Spec{Name: "j", Workspace: "team", Command: "run 1s", Shape: shape}})
}

// commit commits the oldest write, and returns the job that it holds.
func (o *owner) commit() chutejob.Job {
	write := o.writes[0]
	o.writes = o.writes[1:]
	o.apply(o.state.HandleTableEvent(o.environment, chuteevent.TableCommitted{Token: write.Token, Accepted: true}))
	row, _ := write.Writes[0].Row.(chutetable.JobRow)
	return row.Job
}

// code returns the result code of the reply to the call, and 0 if there is no reply yet.
func (o *owner) code(id chuteevent.CallID) chuteresult.Code {
	switch r := o.replies[id].(type) {
	case chutecall.JobReply:
		return r.Result.Code
	case chutecall.ResultReply:
		return r.Result.Code
	}
	return 0
}

// TestAJobThatIsHandedInTwiceAtOnceIsRecordedOnce guards against a second write that puts a job which has started meanwhile
// back into the queue.
func TestAJobThatIsHandedInTwiceAtOnceIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	o := newOwner()
	first := o.submit()
	second := o.submit()
	is.Equal(o.code(second), chuteresult.InProgress)
	is.Equal(len(o.writes), 1)
	o.commit()
	is.Equal(o.code(first), chuteresult.Accepted)
	is.Equal(o.code(o.submit()), chuteresult.Accepted)
	is.Equal(len(o.state.Live()), 1)
}

// TestAJobIsNotAcceptedOnceItsCancellationWasAnswered guards against a submission that arrives, or is recorded, after the owner has
// said that there is no such job, and that runs although it was cancelled.
func TestAJobIsNotAcceptedOnceItsCancellationWasAnswered(t *testing.T) {
	is := is.New(t)
	o := newOwner()
	cancelled := o.call(chutecall.CancelJob{Job: jobID})
	is.Equal(o.code(o.submit()), chuteresult.InProgress) // the cancellation is being written
	is.True(o.commit().Rejected())
	is.Equal(o.code(cancelled), chuteresult.NotFound)
	is.Equal(o.code(o.submit()), chuteresult.Cancelled)
	is.Equal(o.code(o.call(chutecall.CancelJob{Job: jobID})), chuteresult.NotFound)
	is.Equal(o.code(o.call(chutecall.ShowJob{Job: jobID})), chuteresult.NotFound)
	is.Equal(len(o.writes)+len(o.state.Live()), 0)
	jobs, _ := o.replies[o.call(chutecall.ListJobs{})].(chutecall.JobsReply)
	is.Equal(len(jobs.Jobs), 0)
}

// TestACancellationBesideTheWriteOfItsJobIsNotAnsweredAsUnknown guards against the same where the submission came first.
func TestACancellationBesideTheWriteOfItsJobIsNotAnsweredAsUnknown(t *testing.T) {
	is := is.New(t)
	o := newOwner()
	o.submit()
	is.Equal(o.code(o.call(chutecall.CancelJob{Job: jobID})), chuteresult.InProgress)
	o.commit()
	cancelled := o.call(chutecall.CancelJob{Job: jobID})
	o.commit()
	is.Equal(o.code(cancelled), chuteresult.Accepted)
	is.Equal(len(o.state.Live()), 0)
}
