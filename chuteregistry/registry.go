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

// PollInterval is the time between two polls of a worker, and between two looks at its health.
const PollInterval = 2 * time.Second

// Record is what the owner knows of one worker.
type Record struct {
	Worker       chutetopology.Worker
	Health       chutehealth.Health
	Acknowledged []chuteorder.TaskID // ended tasks that the worker may forget
	Jobs         []chutejob.ID       // with parts here that may run

	boot      string        // of the worker's agent in its latest report
	clock     time.Duration // the worker's clock in its latest report
	clockAt   time.Time     // when that report had arrived
	renewedAt time.Time     // when the latest poll that renews leases was given
	leasedAt  time.Time     // when the latest answered poll that renewed leases was sent
}

// Usable reports whether the worker may be given work at the moment: it is healthy and holds a lease of the shard.
func (r Record) Usable(now time.Time) bool {
	return r.Health.Usable(now) && now.Sub(r.leasedAt) < chuteorder.TaskLeaseDuration
}

// LeaseLapsed reports whether the worker's tasks have certainly stopped for lack of polls.
func (r Record) LeaseExpired(now time.Time) bool {
	latest := r.renewedAt
	if r.Health.ReportedAt.After(latest) {
		latest = r.Health.ReportedAt
	}
	return now.Sub(latest) > chuteorder.ExpiryBound(chuteorder.TaskLeaseDuration)
}

// Clock returns a reading of the worker's clock that it has certainly reached at the moment, if that is not before its
// latest report.
func (r Record) WorkerClock(at time.Time) time.Duration {
	return r.clock + at.Sub(r.clockAt)
}

// Boot returns what tells this run of the worker's agent from others.
func (r Record) Boot() string {
	return r.boot
}

// WithPoll returns the record after a poll was given, and the lease that the poll grants. A silent worker is asked for
// its report alone, so that its tasks' leases lapse.
func (r Record) WithPoll(now time.Time) (Record, time.Duration) {
	if r.Health.Silent(now) {
		return r, 0
	}
	r.renewedAt = now
	return r, chuteorder.TaskLeaseDuration
}

// WithReport returns the record after an answered poll, and false if a later one was entered before.
func (r Record) WithReport(e chuteevent.WorkerPolled) (Record, bool) {
	if !e.SentAt.After(r.Health.ReportedAt) {
		return r, false
	}
	r.Health = r.Health.WithReport(e.SentAt)
	r.boot = e.Report.Boot
	r.clock, r.clockAt = e.Report.Clock, e.ReceivedAt
	if e.Lease > 0 {
		r.leasedAt = e.SentAt
	}
	r.Acknowledged = slices.DeleteFunc(slices.Clone(r.Acknowledged), func(id chuteorder.TaskID) bool {
		return !slices.ContainsFunc(e.Report.Tasks, func(t chuteorder.TaskReport) bool { return t.Task == id })
	})
	return r, true
}

// WithAcknowledged returns the record with one more task that the worker may forget.
func (r Record) WithAcknowledged(id chuteorder.TaskID) Record {
	if !slices.Contains(r.Acknowledged, id) {
		r.Acknowledged = append(slices.Clone(r.Acknowledged), id)
	}
	return r
}

// WithJob returns the record with the job among those on the worker.
func (r Record) WithJob(id chutejob.ID) Record {
	if !slices.Contains(r.Jobs, id) {
		r.Jobs = append(slices.Clone(r.Jobs), id)
	}
	return r
}

// WithoutJob returns the record with the job no longer among those on the worker.
func (r Record) WithoutJob(id chutejob.ID) Record {
	r.Jobs = slices.DeleteFunc(slices.Clone(r.Jobs), func(other chutejob.ID) bool { return other == id })
	return r
}

// WithHealth returns the record with the worker's health replaced.
func (r Record) WithHealth(health chutehealth.Health) Record {
	r.Health = health
	return r
}

// Fleet is the immutable set of records of a shard's workers.
type Registry struct {
	records *immutable.SortedMap[chutetopology.WorkerID, Record]
}

// New returns the fleet of the topology's workers, none of which has reported.
func New(topology chutetopology.Topology) Registry {
	return Registry{records: immutable.NewSortedMap[chutetopology.WorkerID, Record](nil)}.WithTopology(topology)
}

// WithTopology returns the fleet with a record for each worker of the topology. Records of workers that went are kept
// while a job may run there.
func (f Registry) WithTopology(topology chutetopology.Topology) Registry {
	kept := f.records
	for _, r := range f.All() {
		if len(r.Jobs) == 0 {
			kept = kept.Delete(r.Worker.ID)
		}
	}
	for _, w := range topology.Workers() {
		r, _ := f.records.Get(w.ID)
		r.Worker = w
		kept = kept.Set(w.ID, r)
	}
	return Registry{records: kept}
}

// Get returns the record of the worker, and false if there is none.
func (f Registry) Get(id chutetopology.WorkerID) (Record, bool) {
	return f.records.Get(id)
}

// With returns the fleet with the record of its worker replaced.
func (f Registry) WithRecord(r Record) Registry {
	f.records = f.records.Set(r.Worker.ID, r)
	return f
}

// Len returns the number of workers.
func (f Registry) Len() int {
	return f.records.Len()
}

// After returns the records of up to the number of workers that follow the id in the order of ids, from the first again
// after the last; no worker is returned twice.
func (f Registry) NextAfter(id chutetopology.WorkerID, count int) []Record {
	count = min(count, f.records.Len())
	found := make([]Record, 0, count)
	i := f.records.Iterator()
	i.Seek(id)
	if next, ok := peek(i); ok && next == id {
		i.Next()
	}
	for len(found) < count {
		if i.Done() {
			i.First()
		}
		_, r, _ := i.Next()
		found = append(found, r)
	}
	return found
}

// peek returns the key that the iterator stands on, and leaves it there.
func peek(i *immutable.SortedMapIterator[chutetopology.WorkerID, Record]) (chutetopology.WorkerID, bool) {
	if i.Done() {
		return "", false
	}
	key, _, ok := i.Next()
	i.Seek(key)
	return key, ok
}

// All returns the records in the order of the workers' ids.
func (f Registry) All() []Record {
	all := make([]Record, 0, f.records.Len())
	for i := f.records.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		all = append(all, r)
	}
	return all
}
