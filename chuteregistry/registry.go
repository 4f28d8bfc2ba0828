package chuteregistry

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutehealth"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// PollInterval is the time between two polls of a worker and between two checks of its health.
const PollInterval = 2 * time.Second

// Record is the immutable state of one worker, as the shard's owner knows it.
type Record struct {
	Worker       chutetopology.Worker
	Health       chutehealth.Health
	Acknowledged []chuteorder.TaskID // ended tasks whose records the worker may forget
	Jobs         []chutejob.ID       // jobs with parts on the worker that may run

	bootID           string        // boot id of the worker's agent in its latest report
	workerClock      time.Duration // the worker's clock in its latest report
	clockReadAt      time.Time     // when that report arrived
	renewalSentAt    time.Time     // when the latest poll with a lease was created
	leaseConfirmedAt time.Time     // when the latest answered poll with a lease was sent
}

// Usable reports whether the worker may be given work now: it is healthy and holds a lease from the shard's owner.
func (r Record) Usable(now time.Time) bool {
	return r.Health.Usable(now) && now.Sub(r.leaseConfirmedAt) < chuteorder.TaskLeaseDuration
}

// LeaseExpired reports whether the worker's tasks have certainly stopped because no poll renewed their leases.
func (r Record) LeaseExpired(now time.Time) bool {
	latest := r.renewalSentAt
	if r.Health.ReportedAt.After(latest) {
		latest = r.Health.ReportedAt
	}
	return now.Sub(latest) > chuteorder.ExpiryBound(chuteorder.TaskLeaseDuration)
}

// WorkerClock returns a reading that the worker's own clock has certainly reached at the given time. The time must not
// be before the arrival of the latest report.
func (r Record) WorkerClock(at time.Time) time.Duration {
	return r.workerClock + at.Sub(r.clockReadAt)
}

// BootID returns the boot id of the worker's agent, which differs for each start of the agent. It is empty before the
// first report.
func (r Record) BootID() string {
	return r.bootID
}

// WithPoll returns the record after a poll was created, and the duration of the lease that the poll grants. A poll to a
// silent worker grants no lease, so that the leases of its tasks expire.
func (r Record) WithPoll(now time.Time) (Record, time.Duration) {
	if r.Health.Silent(now) {
		return r, 0
	}
	r.renewalSentAt = now
	return r, chuteorder.TaskLeaseDuration
}

// WithReport returns the record after an answered poll, and false if the poll was not sent after the latest answered
// one.
func (r Record) WithReport(e chuteevent.WorkerPolled) (Record, bool) {
	if !e.SentAt.After(r.Health.ReportedAt) {
		return r, false
	}
	r.Health = r.Health.WithReport(e.SentAt)
	r.bootID = e.Report.BootID
	r.workerClock, r.clockReadAt = e.Report.Clock, e.ReceivedAt
	if e.Lease > 0 {
		r.leaseConfirmedAt = e.SentAt
	}
	r.Acknowledged = slices.DeleteFunc(slices.Clone(r.Acknowledged), func(id chuteorder.TaskID) bool {
		return !slices.ContainsFunc(e.Report.Tasks, func(t chuteorder.TaskReport) bool { return t.Task == id })
	})
	return r, true
}

// WithAcknowledged returns the record with one more task whose record the worker may forget.
func (r Record) WithAcknowledged(id chuteorder.TaskID) Record {
	if !slices.Contains(r.Acknowledged, id) {
		r.Acknowledged = append(slices.Clone(r.Acknowledged), id)
	}
	return r
}

// WithJob returns the record with the job added to those on the worker.
func (r Record) WithJob(id chutejob.ID) Record {
	if !slices.Contains(r.Jobs, id) {
		r.Jobs = append(slices.Clone(r.Jobs), id)
	}
	return r
}

// WithoutJob returns the record with the job removed from those on the worker.
func (r Record) WithoutJob(id chutejob.ID) Record {
	r.Jobs = slices.DeleteFunc(slices.Clone(r.Jobs), func(other chutejob.ID) bool { return other == id })
	return r
}

// WithHealth returns the record with the worker's health replaced.
func (r Record) WithHealth(health chutehealth.Health) Record {
	r.Health = health
	return r
}

// Registry is the immutable set of the records of a shard's workers.
type Registry struct {
	records *immutable.SortedMap[chutetopology.WorkerID, Record]
}

// New returns the registry of the topology's workers, none of which has reported.
func New(topology chutetopology.Topology) Registry {
	return Registry{records: immutable.NewSortedMap[chutetopology.WorkerID, Record](nil)}.WithTopology(topology)
}

// WithTopology returns the registry with a record for each worker of the topology. It keeps the record of a removed
// worker while a job may run there.
func (rg Registry) WithTopology(topology chutetopology.Topology) Registry {
	kept := rg.records
	for _, r := range rg.All() {
		if len(r.Jobs) == 0 {
			kept = kept.Delete(r.Worker.ID)
		}
	}
	for _, w := range topology.Workers() {
		r, _ := rg.records.Get(w.ID)
		r.Worker = w
		kept = kept.Set(w.ID, r)
	}
	return Registry{records: kept}
}

// Get returns the record of the worker, and false if there is none.
func (rg Registry) Get(id chutetopology.WorkerID) (Record, bool) {
	return rg.records.Get(id)
}

// WithRecord returns the registry with the record of one worker replaced.
func (rg Registry) WithRecord(r Record) Registry {
	rg.records = rg.records.Set(r.Worker.ID, r)
	return rg
}

// Len returns the number of records.
func (rg Registry) Len() int {
	return rg.records.Len()
}

// suspendedShare is the inverse of the share of the workers that may be suspended at once. Where more fail, the jobs may be
// at fault.
const suspendedShare = 2

// MaySuspend reports whether few enough of the other workers are suspended.
func (rg Registry) MaySuspend(id chutetopology.WorkerID, now time.Time) bool {
	others, suspended := 0, 0
	for i := rg.records.Iterator(); !i.Done(); {
		other, r, _ := i.Next()
		if other == id {
			continue
		}
		others++
		if r.Health.Suspected(now) {
			suspended++
		}
	}
	return suspended*suspendedShare < others
}

// NextAfter returns up to count records in the order of ids, starting after the given id and continuing with the first
// one after the last. It returns no record twice.
func (rg Registry) NextAfter(id chutetopology.WorkerID, count int) []Record {
	count = min(count, rg.records.Len())
	records := make([]Record, 0, count)
	i := rg.records.Iterator()
	i.Seek(id)
	if next, ok := peek(i); ok && next == id {
		i.Next()
	}
	for len(records) < count {
		if i.Done() {
			i.First()
		}
		_, r, _ := i.Next()
		records = append(records, r)
	}
	return records
}

// peek returns the key at the iterator's position without advancing the iterator, and false at the end.
func peek(i *immutable.SortedMapIterator[chutetopology.WorkerID, Record]) (chutetopology.WorkerID, bool) {
	if i.Done() {
		return "", false
	}
	key, _, ok := i.Next()
	i.Seek(key)
	return key, ok
}

// All returns the records, ordered by worker id.
func (rg Registry) All() []Record {
	all := make([]Record, 0, rg.records.Len())
	for i := rg.records.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		all = append(all, r)
	}
	return all
}
