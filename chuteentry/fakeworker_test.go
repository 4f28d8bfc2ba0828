package chuteentry_test

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// fakeWorker runs tasks under a lease as the platform specifies. It reports orders that violate an invariant of the
// scheduler.
type fakeWorker struct {
	sim             *simulation
	listing         chutepool.Listing
	startedAt       time.Time
	firstStartedAt  time.Time // when its first process started
	endedLastAt     time.Time // when its latest process ended; zero before
	highestEpoch    int64
	leaseEnd        time.Time
	runs            map[chutegraph.RunID]*fakeRun
	ends            []chutetask.RunEnd
	lastEndNumber   int64
	highestEndedRun map[chutegraph.TaskID]int // highest number of a stopped or ended run
	expiredEnds     map[int64]bool            // numbers of the ends that were unacknowledged when the lease expired
	endedAt         map[chutegraph.RunID]time.Time
	dead            bool
	disconnected    bool      // no host reaches the worker
	reachedBy       *fakeHost // the only host that reaches the worker; nil if all do
	offStore        bool      // the worker does not reach the store
	heartbeatAt     time.Time
	lostOrderRate   float64 // fraction of orders that get no answer and are executed late
	failsRuns       bool    // every run fails
	slowness        float64 // factor by which its tasks take longer, where the simulation follows their work; 0 for 1
	unhealthy       bool    // it refuses each start, and serves all else
	losesStarts     bool    // start orders do not reach it and get no answer; it serves all else
	formerCapacity  []capacityPeriod
	clockBehind     time.Duration // by which its time of day is behind the true one
	leavesAt        time.Time     // when it leaves at short notice; zero if it doesn't
}

func (sm *simulation) addWorker(name string, i int) *fakeWorker {
	k := &fakeWorker{
		sim: sm, startedAt: sm.now, firstStartedAt: sm.now, runs: make(map[chutegraph.RunID]*fakeRun), expiredEnds: make(map[int64]bool),
		endedAt: make(map[chutegraph.RunID]time.Time), highestEndedRun: make(map[chutegraph.TaskID]int),
		listing: chutepool.Listing{
			ID: chutetask.WorkerID(name), Service: "main", Address: name + ":1", Zone: fmt.Sprintf("zone-%d", i%sm.fleet.zones),
			Rack: fmt.Sprintf("rack-%d", i/sm.fleet.rack), Labels: []string{"a", fmt.Sprintf("rack-%d", i/sm.fleet.rack)},
			Capacity: sm.fleet.capacity,
		},
	}
	k.listing.Incarnation = k.startedAt.UnixMilli()
	sm.workers[name] = k
	k.publishListing()
	k.expireLease()
	k.sendHeartbeats()
	return k
}

func (k *fakeWorker) key() chuteaction.RowKey {
	return chuteaction.RowKey{Table: chuteaction.TableWorkers, Key: string(k.listing.ID)}
}

// publishListing writes the listing, which expires three intervals after the worker's latest write of it.
func (k *fakeWorker) publishListing() {
	at := k.sim.now
	k.heartbeatAt = at
	if !k.leavesAt.IsZero() {
		k.listing.TimeToLeave = max(time.Millisecond, k.leavesAt.Sub(at))
	}
	k.sim.store.put(k.key(), chuteaction.WorkerRow{Listing: k.listing})
	k.sim.after(3*heartbeat, func() {
		if _, listed := k.sim.store.rows[k.key()]; listed && k.heartbeatAt.Equal(at) {
			k.sim.store.deleteRow(k.key(), nil)
		}
	})
}

// sendHeartbeats publishes the listing at each interval.
func (k *fakeWorker) sendHeartbeats() {
	if !k.dead && !k.offStore {
		k.publishListing()
	}
	k.sim.after(heartbeat, k.sendHeartbeats)
}

// crash ends the process; its listing is removed after the delay.
func (k *fakeWorker) crash(listingDelay time.Duration) {
	k.dead = true
	k.endedLastAt = k.sim.now
	for _, r := range k.runs {
		r.ended = true
		r.job.crashes[r.id.Task]++
	}
	k.runs = make(map[chutegraph.RunID]*fakeRun)
	k.sim.after(listingDelay, func() {
		if k.dead {
			k.sim.store.deleteRow(k.key(), nil)
		}
	})
}

// restart starts a new incarnation with the same worker id.
func (k *fakeWorker) restart() {
	k.crash(time.Hour)
	k.dead = false
	k.startedAt = k.sim.now
	k.listing.Incarnation = k.startedAt.Add(-k.clockBehind).UnixMilli()
	k.listing.Draining = false
	k.highestEpoch, k.lastEndNumber = 0, 0
	k.ends = nil
	k.highestEndedRun = make(map[chutegraph.TaskID]int)
	k.expiredEnds = make(map[int64]bool)
	k.leaseEnd = time.Time{}
	if !k.offStore {
		k.publishListing()
	}
}

// crashUnder crashes the worker of a run, unless the run has ended, and breaks the gangs that lose a member. The worker
// comes back later as the simulation says.
func (k *fakeWorker) crashUnder(r *fakeRun) {
	if r.ended {
		return
	}
	sm := k.sim
	expiry := 3 * heartbeat
	if sm.workerReturn == returnsUnlisted {
		expiry = heartbeat
	}
	lost := k.sortedRuns()
	k.crash(expiry)
	for _, other := range lost {
		if other.step.Gang {
			sm.endGang(other, chutetask.EndGangBroken)
		}
	}
	downTime := 2*time.Second + time.Duration(sm.random.Int64N(int64(2*time.Second)))
	if sm.workerReturn == returnsAsNewWorker {
		sm.after(downTime, k.replace)
	} else {
		sm.after(downTime, k.restart)
	}
	if sm.onCrash != nil {
		sm.onCrash(r)
	}
}

// replace starts a worker with a new id in the place of one that crashed.
func (k *fakeWorker) replace() {
	fresh := k.sim.addWorker(fmt.Sprintf("worker-%02d", len(k.sim.workers)), 0)
	fresh.listing.Zone, fresh.listing.Rack, fresh.listing.Labels = k.listing.Zone, k.listing.Rack, k.listing.Labels
	fresh.publishListing()
}

// silence cuts a worker off from the hosts and the store, where its listing expires.
func (k *fakeWorker) silence(d time.Duration) {
	if k.disconnected {
		return
	}
	k.disconnected, k.offStore = true, true
	k.sim.after(d, func() {
		k.disconnected, k.offStore = false, false
		if !k.dead {
			k.publishListing()
		}
	})
}

func (k *fakeWorker) drain(d time.Duration) {
	k.listing.Draining = true
	k.listing.TimeToLeave = d
	k.publishListing()
	k.sim.after(d+time.Second, func() { k.crash(50 * time.Millisecond) })
}

// unreachableFrom reports whether orders of the host do not reach the worker.
func (k *fakeWorker) unreachableFrom(h *fakeHost) bool {
	return k.disconnected || k.reachedBy != nil && k.reachedBy != h
}

func (k *fakeWorker) clock() time.Duration {
	return k.sim.now.Sub(k.startedAt)
}

// expireLease ends all runs once the lease has expired.
func (k *fakeWorker) expireLease() {
	if !k.dead && !k.leaseEnd.IsZero() && k.sim.now.After(k.leaseEnd) {
		for _, r := range k.sortedRuns() {
			k.endRun(r, chutetask.EndLeaseExpired)
		}
		for _, e := range k.ends {
			k.expiredEnds[e.Number] = true
		}
	}
	k.sim.after(100*time.Millisecond, k.expireLease)
}
