package chutegang

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteregistry"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// component is the prefix of log lines about shards.
const component = "shard"

// Transition computes the new state and the effects of one event. Its methods change State and add to Effects.
type Transition struct {
	State       State
	Environment Environment
	Effects     []chuteevent.Effect
}

// NewTransition returns a transition that starts from the state.
func NewTransition(state State, environment Environment) *Transition {
	return &Transition{State: state, Environment: environment}
}

// Now returns the time of the event.
func (t *Transition) Now() time.Time {
	return t.Environment.Now
}

// Emit adds an effect.
func (t *Transition) Emit(effect chuteevent.Effect) {
	t.Effects = append(t.Effects, effect)
}

// Count adds one to a counter.
func (t *Transition) Count(counter, reason string) {
	t.Emit(chuteevent.Count{Counter: counter, Reason: reason})
}

// Warn writes a warning to the log.
func (t *Transition) Warn(format string, values ...any) {
	t.Emit(chuteevent.LogLine{Component: component, Warning: true, Text: fmt.Sprintf(format, values...)})
}

// Log writes a line to the log.
func (t *Transition) Log(format string, values ...any) {
	t.Emit(chuteevent.LogLine{Component: component, Text: fmt.Sprintf(format, values...)})
}

// TrackOperation records the purpose of a new store operation and returns its token.
func (t *Transition) TrackOperation(p Pending) chuteevent.Token {
	t.State.sequence++
	token := chuteevent.Token(fmt.Sprintf("shard-%04d-%d-%s-%d", t.State.Shard, t.State.Epoch, t.Environment.BootID, t.State.sequence))
	t.State.pending = t.State.pending.Set(token, p)
	return token
}

// CommitJob writes the job's row, on condition that this host still owns the shard.
func (t *Transition) CommitJob(p Pending, j chutejob.Job) {
	t.Emit(chuteevent.CommitTable{
		Token:      t.TrackOperation(p),
		Conditions: []chutetable.Condition{t.State.Fence},
		Writes:     []chutetable.Write{{Key: chutetable.JobKey(t.State.Shard, j.ID), Row: chutetable.JobRow{Job: j}}},
	})
}

// DeleteJobs deletes the rows of ended jobs, on condition that this host still owns the shard.
func (t *Transition) DeleteJobs(ids []chutejob.ID) {
	commit := chuteevent.CommitTable{
		Token: t.TrackOperation(PendingDelete{Jobs: ids}), Conditions: []chutetable.Condition{t.State.Fence},
	}
	for _, id := range ids {
		commit.Writes = append(commit.Writes, chutetable.Write{Key: chutetable.JobKey(t.State.Shard, id)})
	}
	t.Emit(commit)
}

// PutJob stores the job's new state, among the ended jobs if it has ended.
func (t *Transition) PutJob(j chutejob.Job) {
	if j.Phase == chutejob.PhaseEnded {
		t.State.live = t.State.live.Delete(j.ID)
		t.State.ended = t.State.ended.Set(j.ID, j)
		return
	}
	t.State.live = t.State.live.Set(j.ID, j)
}

// Answer answers a call at this host's front end, or through the peer that forwarded it.
func (t *Transition) Answer(to chuteevent.Origin, reply chutecall.Reply) {
	t.Emit(to.Answer(reply))
}

// SendOrder sends an order to a worker of the shard. This host refuses an order that is still unsent when it expires;
// a zero time means that it does not expire.
func (t *Transition) SendOrder(id chutetopology.WorkerID, order chuteorder.Order, expires time.Time) {
	r, ok := t.State.Registry.Get(id)
	if !ok {
		return
	}
	t.Emit(chuteevent.SendOrder{
		Worker: id, Address: r.Worker.Address, Order: order, Expires: expires,
		Fence: chuteorder.Fence{Shard: t.State.Shard, Epoch: t.State.Epoch},
	})
}

// AttachJob records on the workers of the job's parts that the job may run there.
func (t *Transition) AttachJob(j chutejob.Job) {
	t.updateRecords(j, func(r chuteregistry.Record) chuteregistry.Record { return r.WithJob(j.ID) })
}

func (t *Transition) detachJob(j chutejob.Job) {
	t.updateRecords(j, func(r chuteregistry.Record) chuteregistry.Record { return r.WithoutJob(j.ID) })
}

func (t *Transition) updateRecords(j chutejob.Job, change func(chuteregistry.Record) chuteregistry.Record) {
	for _, p := range j.Parts {
		if r, ok := t.State.Registry.Get(p.Block.Worker); ok {
			t.State.Registry = t.State.Registry.WithRecord(change(r))
		}
	}
}

func taskID(j chutejob.Job, part int) chuteorder.TaskID {
	return chuteorder.TaskID{Job: j.ID, Attempt: j.Attempt, Part: part}
}
