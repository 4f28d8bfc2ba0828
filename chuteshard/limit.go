package chuteshard

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteallocator"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutelimit"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// limitReadInterval is the time between two reads of a ledger while jobs of the workspace wait.
	limitReadInterval = time.Second
	// limitIdleReadInterval is the same while jobs of the workspace only hold accelerators; a covered job of another
	// shard, for which they may have to stop, is seen within it.
	limitIdleReadInterval = 2 * time.Second
	// limitReturnDelay is the time after which a part of the limit that is not needed is given back. Without it, each end
	// of a job that another follows would cost two writes.
	limitReturnDelay = 5 * time.Second
	// limitLogInterval is the time between two log lines about the same limit.
	limitLogInterval = time.Minute
	// maxLimitOperations is the maximum number of reads and writes of ledgers in flight, so that the introduction of
	// many limits does not delay the rows of jobs.
	maxLimitOperations = 8
)

// limitRecord is what the owner knows of the ledger of one workspace.
type limitRecord struct {
	ledger   chutelimit.Ledger
	version  chutetable.Version // of the ledger's row, 0 if there is none
	known    bool               // the row was read under this ownership
	stale    bool               // the row has changed since it was read
	readAt   time.Time          // when the latest read or write ended
	inFlight bool
	writing  *chutelimit.Ledger // ledger being written, nil if none is
	neededAt time.Time          // when all that is allotted to the shard was last needed
	held     chuteallocator.Held
	loggedAt time.Time // when it was last logged that the limit holds jobs back
}

func (t *transition) limitRecord(workspace string) limitRecord {
	r, ok := t.state.limits.Get(workspace)
	if !ok {
		r.ledger.Workspace = workspace
	}
	return r
}

func (t *transition) putLimitRecord(r limitRecord) {
	t.state.limits = t.state.limits.Set(r.ledger.Workspace, r)
}

// room returns how many accelerators jobs of the workspace may take now. What a write in flight gives back is not used
// any more, and what it takes is not used yet.
func (r limitRecord) room(terms chutelimit.Terms, shard, use int) int {
	if !r.known {
		return 0
	}
	room := r.ledger.Room(terms, shard, use)
	if r.writing != nil {
		room = min(room, r.writing.Room(terms, shard, use))
	}
	return room
}

func (t *transition) limitTerms(w chutedocument.Workspace) chutelimit.Terms {
	return chutelimit.Terms{
		Accelerators: w.Limit.Accelerators, Since: w.Limit.Since, Version: w.Limit.Version, Shards: t.Environment.Document.Policy.Shards,
	}
}

// limitedWorkspaces returns the workspaces that have a limit.
func (t *transition) limitedWorkspaces() []chutedocument.Workspace {
	var limited []chutedocument.Workspace
	for _, w := range t.Environment.Document.Workspaces {
		if w.Limit.Accelerators > 0 {
			limited = append(limited, w)
		}
	}
	return limited
}

// limitRooms returns, by workspace with a limit, how many accelerators its jobs may take now.
func (t *transition) limitRooms() map[string]int {
	limited := t.limitedWorkspaces()
	if len(limited) == 0 {
		return nil
	}
	rooms, demands := make(map[string]int, len(limited)), t.limitDemands()
	for _, w := range limited {
		rooms[w.Name] = t.limitRecord(w.Name).room(t.limitTerms(w), t.State.Shard, demands[w.Name].Use)
	}
	return rooms
}

// limitDemands returns what the workspaces have in use and evictable on the shard. A job is in use from its
// grant until its attempt is over, also when the attempt was adopted from an earlier owner.
func (t *transition) limitDemands() map[string]chutelimit.Demand {
	demands := make(map[string]chutelimit.Demand)
	for _, j := range t.State.Live() {
		d := demands[j.Spec.Workspace]
		total := j.Spec.Shape.Total()
		if j.Phase != chutejob.PhaseWaiting {
			d.Use += total
		}
		if evictable(j) || stopsForLimit(j) {
			d.Evictable += total
		}
		demands[j.Spec.Workspace] = d
	}
	return demands
}

// evictable reports whether the job may be stopped for a job of the same workspace that a guarantee covers.
func evictable(j chutejob.Job) bool {
	return j.Phase == chutejob.PhaseRunning && !j.Guaranteed && !j.Spec.Urgent && j.Spec.Restartable()
}

// stopsForLimit reports whether the job is being stopped and will release its accelerators.
func stopsForLimit(j chutejob.Job) bool {
	return (j.Phase == chutejob.PhaseCheckpointing || j.Phase == chutejob.PhaseStopping) && j.StopReason == chutejob.StopReclaimed
}

// syncLimits brings the ledgers of the limits up to date with what the shard has and needs after a planning pass, and
// stops jobs for those that a guarantee covers.
func (t *transition) syncLimits(held map[string]chuteallocator.Held) {
	limited := t.limitedWorkspaces()
	if len(limited) == 0 || !t.Environment.StoreUp {
		return
	}
	operations, demands := t.limitOperations(), t.limitDemands()
	for _, w := range limited {
		r, d := t.limitRecord(w.Name), demands[w.Name]
		d.Shard = t.State.Shard
		r = t.reportHeld(r, w, d, held[w.Name])
		if d.Waiting = r.held.Waiting; r.held.Reserves {
			d.Reserved = r.held.Reserved
		}
		if e, _ := r.ledger.Entry(d.Shard); d.Use+d.Waiting >= e.Accelerators {
			r.neededAt = t.Now()
		}
		d.Unneeded = t.Now().Sub(r.neededAt) >= limitReturnDelay
		if !r.inFlight && operations < maxLimitOperations {
			r = t.syncLimit(r, t.limitTerms(w), d)
			if r.inFlight {
				operations++
			}
		}
		t.putLimitRecord(r)
		if _, changed := r.ledger.Next(t.limitTerms(w), d); !changed && !r.inFlight {
			t.evictForLimit(r, t.limitTerms(w))
		}
	}
}

func (t *transition) limitOperations() int {
	operations := 0
	for i := t.state.limits.Iterator(); !i.Done(); {
		if _, r, _ := i.Next(); r.inFlight {
			operations++
		}
	}
	return operations
}

// reportHeld returns the record with the job that the limit holds back. It counts when the limit begins to hold jobs
// back, and logs at intervals while it does.
func (t *transition) reportHeld(r limitRecord, w chutedocument.Workspace, d chutelimit.Demand, held chuteallocator.Held) limitRecord {
	if held.Job != "" && r.held.Job == "" {
		t.Count("job-held", "limit")
	}
	if held.Job != "" && t.Now().Sub(r.loggedAt) >= limitLogInterval {
		r.loggedAt = t.Now()
		t.Log("shard %d: job %s of workspace %s waits for the limit of %d accelerators, %d allotted, %d in use here", d.Shard,
			held.Job, w.Name, w.Limit.Accelerators, r.ledger.Allotted(), d.Use)
	}
	r.held = held
	return r
}

// syncLimit returns the record after it has started a read or a write of the ledger, if one is due.
func (t *transition) syncLimit(r limitRecord, terms chutelimit.Terms, d chutelimit.Demand) limitRecord {
	age, key := t.Now().Sub(r.readAt), chutetable.LimitKey(r.ledger.Workspace)
	if !r.known || r.stale || d.Waiting > 0 && age >= limitReadInterval || d.Use > 0 && age >= limitIdleReadInterval {
		r.inFlight = true
		t.Emit(chuteevent.ReadTable{
			Token: t.TrackOperation(chutegang.PendingLimitRead{Workspace: r.ledger.Workspace}), Prefix: key, Exact: true,
		})
		return r
	}
	next, changed := r.ledger.Next(terms, d)
	if !changed {
		return r
	}
	r.inFlight, r.writing = true, &next
	t.Emit(chuteevent.CommitTable{
		Token:      t.TrackOperation(chutegang.PendingLimitWrite{Ledger: next}),
		Conditions: []chutetable.Condition{t.State.Fence, {Key: key, Version: r.version}},
		Writes:     []chutetable.Write{{Key: key, Row: chutetable.LimitRow{Ledger: next}}},
	})
	return r
}

// handleLimitRead records the ledger of the workspace; no row means that the ledger has no entries.
func (t *transition) handleLimitRead(workspace string, rows []chutetable.StoredRow) {
	r := t.limitRecord(workspace)
	before := r.version
	r.ledger, r.version = chutelimit.Ledger{Workspace: workspace}, 0
	for _, stored := range rows {
		if row, ok := stored.Row.(chutetable.LimitRow); ok {
			r.ledger, r.version = row.Ledger, stored.Version
		}
	}
	t.State.PlanDue = t.State.PlanDue || !r.known || r.version != before
	r.known, r.stale, r.inFlight, r.readAt = true, false, false, t.Now()
	t.putLimitRecord(r)
}

// handleLimitCommitted records the outcome of a write of a ledger. A refused write makes a read due: another owner has
// written the ledger, or taken this shard, which the next write of a job reveals.
func (t *transition) handleLimitCommitted(p chutegang.PendingLimitWrite, e chuteevent.TableCommitted) {
	r := t.limitRecord(p.Ledger.Workspace)
	r.inFlight, r.writing, r.stale = false, nil, !e.Accepted
	if e.Accepted {
		r.ledger, r.version, r.readAt = p.Ledger, e.Versions[chutetable.LimitKey(p.Ledger.Workspace)], t.Now()
	}
	t.State.PlanDue = true
	t.putLimitRecord(r)
}

// handleLimitFailed handles a read or write of a ledger that had no effect.
func (t *transition) handleLimitFailed(workspace string) {
	r := t.limitRecord(workspace)
	r.inFlight, r.writing, r.stale = false, nil, true
	t.putLimitRecord(r)
}

// evictForLimit stops borrowers of the workspace, those that lose the least work first, until the accelerators that a
// covered job lacks under the limit are being freed. The ledger must have the shard's present entry: the job may have
// started otherwise.
func (t *transition) evictForLimit(r limitRecord, terms chutelimit.Terms) {
	missing := r.ledger.Missing(terms, t.State.Shard)
	if missing <= 0 {
		return
	}
	var candidates []chutejob.Job
	for _, j := range t.State.Live() {
		switch {
		case j.Spec.Workspace != r.ledger.Workspace:
		case stopsForLimit(j):
			missing -= j.Spec.Shape.Total()
		case evictable(j):
			candidates = append(candidates, j)
		}
	}
	slices.SortFunc(candidates, func(a, b chutejob.Job) int {
		return cmp.Or(cmp.Compare(a.LostWork(t.Now()), b.LostWork(t.Now())), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range candidates {
		if missing <= 0 {
			return
		}
		missing -= j.Spec.Shape.Total()
		t.Count("job-stopped", chutejob.StopReclaimed.String())
		t.Stop(j, chutejob.StopReclaimed)
	}
}

// limitCause returns why the limit of its workspace holds the waiting job back, and an empty text if it does not.
func (t *transition) limitCause(j chutejob.Job) string {
	w, _ := t.Environment.Document.Workspace(j.Spec.Workspace)
	if w.Limit.Accelerators == 0 || j.Phase != chutejob.PhaseWaiting {
		return ""
	}
	r, terms, use := t.limitRecord(w.Name), t.limitTerms(w), t.limitDemands()[w.Name].Use
	if r.room(terms, t.State.Shard, use) >= j.Spec.Shape.Total() && (!r.held.Reserves || r.held.Job == j.ID) {
		return ""
	}
	if !r.known || !r.ledger.Complete(terms) {
		return fmt.Sprintf("limit: workspace %s may hold %d accelerators; the shards have not all recorded what it holds yet", w.Name, terms.Accelerators)
	}
	e, _ := r.ledger.Entry(t.State.Shard)
	cause := fmt.Sprintf("limit: workspace %s may hold %d accelerators; %d are allotted to its jobs on all shards, %d to this shard, of which %d are in use",
		w.Name, terms.Accelerators, r.ledger.Allotted(), e.Accelerators, use)
	if first, ok := r.ledger.FirstReservation(); ok && r.held.Job != j.ID {
		cause += fmt.Sprintf("; free ones are reserved for a job on shard %d that waits since %s", first.Shard, first.Reserved.Since.UTC().Format(time.RFC3339))
	}
	return cause
}
