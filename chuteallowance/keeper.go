package chuteallowance

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteallocator"
	"monsoonchute.example/monsoonchute/chuteallotment"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutelimit"
)

const (
	// readInterval is the time between two reads of a ledger while jobs of the workspace wait.
	readInterval = time.Second
	// idleReadInterval is the same while jobs of the workspace only hold accelerators; a covered job of another
	// shard, for which they may have to stop, is seen within it.
	idleReadInterval = 2 * time.Second
	// returnDelay is the time after which a part of the limit that is not needed is given back. Without it, each end
	// of a job that another follows would cost two writes.
	returnDelay = 5 * time.Second
	// logInterval is the time between two log lines about the same limit.
	logInterval = time.Minute
	// maxOperations is the maximum number of reads and writes of ledgers in flight, so that the introduction of
	// many limits does not delay the rows of jobs.
	maxOperations = 8
)

// keeper is the working copy of the state while one event is handled.
type keeper struct {
	*chutegang.Transition
	state State
}

func (k *keeper) record(workspace string) chuteallotment.Record {
	r, ok := k.state.records.Get(workspace)
	if !ok {
		r.Ledger.Workspace = workspace
	}
	return r
}

func (k *keeper) putRecord(r chuteallotment.Record) {
	k.state.records = k.state.records.Set(r.Ledger.Workspace, r)
}

func (k *keeper) terms(w chutedocument.Workspace) chutelimit.Terms {
	return chutelimit.Terms{
		Accelerators: w.Limit.Accelerators, Since: w.Limit.Since, Version: w.Limit.Version, Shards: k.Environment.Document.Policy.Shards,
	}
}

// limitedWorkspaces returns the workspaces that have a limit.
func (k *keeper) limitedWorkspaces() []chutedocument.Workspace {
	var limited []chutedocument.Workspace
	for _, w := range k.Environment.Document.Workspaces {
		if w.Limit.Accelerators > 0 {
			limited = append(limited, w)
		}
	}
	return limited
}

// rooms returns, by workspace with a limit, how many accelerators its jobs may take now.
func (k *keeper) rooms() map[string]int {
	limited := k.limitedWorkspaces()
	if len(limited) == 0 {
		return nil
	}
	rooms, demands := make(map[string]int, len(limited)), chuteallotment.Demands(k.State.Live())
	for _, w := range limited {
		rooms[w.Name] = k.record(w.Name).Room(k.terms(w), k.State.Shard, demands[w.Name].Use)
	}
	return rooms
}

// sync brings the ledgers of the limits up to date with what the shard has and needs after a planning pass, and
// stops jobs for those that a guarantee covers.
func (k *keeper) sync(held map[string]chuteallocator.Held) {
	limited := k.limitedWorkspaces()
	if len(limited) == 0 || !k.Environment.StoreUp {
		return
	}
	operations, demands := k.operations(), chuteallotment.Demands(k.State.Live())
	for _, w := range limited {
		r, d := k.record(w.Name), demands[w.Name]
		d.Shard = k.State.Shard
		r = k.reportHeld(r, w, d, held[w.Name])
		if d.Waiting = r.Held.Waiting; r.Held.Reserves {
			d.Reserved = r.Held.Reserved
		}
		if e, _ := r.Ledger.Entry(d.Shard); d.Use+d.Waiting >= e.Accelerators {
			r.NeededAt = k.Now()
		}
		d.Unneeded = k.Now().Sub(r.NeededAt) >= returnDelay
		if !r.InFlight && operations < maxOperations {
			r = k.syncLedger(r, k.terms(w), d)
			if r.InFlight {
				operations++
			}
		}
		k.putRecord(r)
		if _, changed := r.Ledger.Next(k.terms(w), d); !changed && !r.InFlight {
			k.evict(r, k.terms(w))
		}
	}
}

func (k *keeper) operations() int {
	operations := 0
	for i := k.state.records.Iterator(); !i.Done(); {
		if _, r, _ := i.Next(); r.InFlight {
			operations++
		}
	}
	return operations
}

// reportHeld returns the record with the job that the limit holds back. It counts when the limit begins to hold jobs
// back, and logs at intervals while it does.
func (k *keeper) reportHeld(r chuteallotment.Record, w chutedocument.Workspace, d chutelimit.Demand, held chuteallocator.Held) chuteallotment.Record {
	if held.Job != "" && r.Held.Job == "" {
		k.Count("job-held", "limit")
	}
	if held.Job != "" && k.Now().Sub(r.LoggedAt) >= logInterval {
		r.LoggedAt = k.Now()
		k.Log("shard %d: job %s of workspace %s waits for the limit of %d accelerators, %d allotted, %d in use here", d.Shard,
			held.Job, w.Name, w.Limit.Accelerators, r.Ledger.Allotted(), d.Use)
	}
	r.Held = held
	return r
}

// evict stops borrowers of the workspace, those that lose the least work first, until the accelerators that a
// covered job lacks under the limit are being freed. The ledger must have the shard's present entry: the job may have
// started otherwise.
func (k *keeper) evict(r chuteallotment.Record, terms chutelimit.Terms) {
	missing := r.Ledger.Missing(terms, k.State.Shard)
	if missing <= 0 {
		return
	}
	for _, j := range chuteallotment.Victims(k.State.Live(), r.Ledger.Workspace, missing, k.Now()) {
		k.Count("job-stopped", chutejob.StopReclaimed.String())
		k.Stop(j, chutejob.StopReclaimed)
	}
}

// cause returns why the limit of its workspace holds the waiting job back, and an empty text if it does not.
func (k *keeper) cause(j chutejob.Job) string {
	w, _ := k.Environment.Document.Workspace(j.Spec.Workspace)
	if w.Limit.Accelerators == 0 || j.Phase != chutejob.PhaseWaiting {
		return ""
	}
	r, terms, use := k.record(w.Name), k.terms(w), chuteallotment.Demands(k.State.Live())[w.Name].Use
	if r.Room(terms, k.State.Shard, use) >= j.Spec.Shape.Total() && (!r.Held.Reserves || r.Held.Job == j.ID) {
		return ""
	}
	return r.Cause(terms, w.Name, k.State.Shard, use, j.ID)
}
