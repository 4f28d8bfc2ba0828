package chuteallowance

import (
	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteallocator"
	"monsoonchute.example/monsoonchute/chuteallotment"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetable"
)

// State is the immutable state of the ledgers as the owner of a shard knows them.
type State struct {
	records *immutable.SortedMap[string, chuteallotment.Record] // by workspace
}

// New returns a state without ledgers.
func New() State {
	return State{records: immutable.NewSortedMap[string, chuteallotment.Record](nil)}
}

// Rooms returns, by workspace with a limit, how many accelerators its jobs may take now, and nil if no workspace has one.
func (s State) Rooms(t *chutegang.Transition) map[string]int {
	return s.keeper(t).rooms()
}

// Sync returns the state after a planning pass that held back the jobs: it brings the ledgers up to date with what the shard has and needs,
// and stops jobs for those that a guarantee covers.
func (s State) Sync(t *chutegang.Transition, held map[string]chuteallocator.Held) State {
	k := s.keeper(t)
	k.sync(held)
	return k.state
}

// Cause returns why the limit of its workspace holds the waiting job back, and an empty text if it does not.
func (s State) Cause(t *chutegang.Transition, j chutejob.Job) string {
	return s.keeper(t).cause(j)
}

// HandleRead returns the state after a read of the workspace's ledger; no row means that the ledger has no entries.
func (s State) HandleRead(t *chutegang.Transition, workspace string, rows []chutetable.StoredRow) State {
	k := s.keeper(t)
	k.handleRead(workspace, rows)
	return k.state
}

// HandleCommitted returns the state after the store has accepted or refused a write of a ledger.
func (s State) HandleCommitted(t *chutegang.Transition, p chutegang.PendingLimitWrite, e chuteevent.TableCommitted) State {
	k := s.keeper(t)
	k.handleCommitted(p, e)
	return k.state
}

// HandleFailed returns the state after a read or write of the workspace's ledger that had no effect.
func (s State) HandleFailed(t *chutegang.Transition, workspace string) State {
	k := s.keeper(t)
	k.handleFailed(workspace)
	return k.state
}

func (s State) keeper(t *chutegang.Transition) *keeper {
	return &keeper{Transition: t, state: s}
}
