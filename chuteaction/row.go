package chuteaction

import (
	"strconv"
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chutebacklog"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Table is a table of the store.
type Table int

// The tables of the store.
const (
	TableOperator Table = iota + 1 // written by the operators
	TableWorkers                   // written by the workers
	TableJobs                      // submissions and cancellations, written by any entry host
	TableProgress                  // progress of jobs, written by the scheduler
	TableLeaders                   // one row for each shard, written by its scheduler
	TableHosts                     // written by each entry host at its start
	TableWaves                     // progress of maintenance waves, written by the scheduler
)

var tableNames = []string{"", "operator", "workers", "jobs", "progress", "leaders", "hosts", "waves"}

// String returns the kebab-case name of the table.
func (t Table) String() string {
	if t < TableOperator || t > TableWaves {
		return "invalid"
	}
	return tableNames[t]
}

// RowKey identifies a row. All rows of a transaction belong to one partition.
type RowKey struct {
	Table     Table
	Partition string
	Key       string
}

// RowVersion is the number of the transaction that wrote a row; 0 means that the row is absent.
type RowVersion int64

// Row is a row of the store. Its value is nil if the row was deleted or cannot be decoded.
type Row struct {
	RowKey
	Version RowVersion
	Value   RowValue
	Deleted bool
}

// RowValue is the content of a row: one of the types below.
//
//sumtype:decl
type RowValue interface{ sealedRowValue() }

// JobRow is a row about a job that entry hosts write for their clients: one of SubmissionRow and CancelRow.
//
//sumtype:decl
type JobRow interface {
	RowValue
	sealedJobRow()
}

// OperatorRow is a row that the operators write: one of CatalogRow, EvacuationRow and WaveRow.
//
//sumtype:decl
type OperatorRow interface {
	RowValue
	sealedOperatorRow()
}

// SubmissionRow records an accepted job.
type SubmissionRow struct{ chutetask.Submission }

// CancelRow records the cancellation of a job.
type CancelRow struct{ Job chutegraph.JobID }

// ProgressRow records the progress of a job, but for the tasks if these are in rows of their own.
type ProgressRow struct {
	Job chutegraph.JobID
	chutetask.Progress
	Parts int // number of rows with the tasks, which the same transaction wrote; 0 if this row holds them
}

// ProgressPartRow records some tasks of a job whose progress does not fit in one row. One without tasks is not used any more.
type ProgressPartRow struct {
	Job    chutegraph.JobID
	Number int // from 1 on
	Ranges []chutetask.Range
}

// LeaderRow identifies the scheduler of a shard. Every write of the scheduler updates it, conditional on its version.
type LeaderRow struct {
	Epoch    int64          // increases with each takeover; workers refuse orders of lower epochs
	Host     string         // host of the scheduler
	Process  string         // process of the scheduler; a restart gets a new one
	Sequence int64          // increases with each write
	Released bool           // the scheduler has stopped; any host may take over at once
	Pending  map[string]int // number of accepted jobs of which no task has started, by queue
	// CountedAt is when the pending jobs were counted, by the store's clock; 0 if that is not known, and in rows of older hosts.
	CountedAt time.Duration
	Partial   bool // Pending leaves out queues with pending jobs, since the row has no room for all
	Backlog   chutebacklog.Report
	Handover  Handover
}

// Handover is what a scheduler tells its successor of the workers. Its times are those of the store's clock.
type Handover struct {
	// FormerLeaseEnd is when all leases have expired that earlier schedulers granted, and those that FinalLeases has no room
	// for; 0 if FinalLeases names all workers with runs that this one has not reached.
	FormerLeaseEnd time.Duration
	FinalLeases    []FinalLease     // never modified
	Unlisted       []UnlistedWorker // never modified
}

// FinalLease is the lease of a worker that the scheduler does not extend while its row says so.
type FinalLease struct {
	Worker chutetask.WorkerID
	End    time.Duration // when the lease has certainly expired
}

// UnlistedWorker is a worker with runs that the list of workers does not have, and the address at which it has answered.
type UnlistedWorker struct {
	Worker  chutetask.WorkerID
	Address string
}

// AddressOf returns the address of an unlisted worker, and false if it is not among them.
func (h Handover) AddressOf(worker chutetask.WorkerID) (string, bool) {
	for _, u := range h.Unlisted {
		if u.Worker == worker {
			return u.Address, true
		}
	}
	return "", false
}

// FinalLeaseOf returns the end of the worker's lease, and false if it is not among the leases.
func FinalLeaseOf(leases []FinalLease, worker chutetask.WorkerID) (time.Duration, bool) {
	for _, l := range leases {
		if l.Worker == worker {
			return l.End, true
		}
	}
	return 0, false
}

// HostRow identifies the current process of an entry host; its earlier processes have ended. Its field names are part of
// the stored form.
type HostRow struct {
	Host    string
	Process string
	Address string  // relay address where the host accepts store requests of other hosts
	Share   float64 // number of CPU cores that the host may use
	Memory  int64   // limit in bytes on the memory of the process; 0 if there is none or an older version wrote the row
}

// CatalogRow holds the configuration in force.
type CatalogRow struct{ chutecatalog.Catalog }

// EvacuationRow requests that no more tasks start in an availability zone, or ends such a request.
type EvacuationRow struct {
	Zone  string
	Ended bool
}

// WaveRow requests a maintenance wave: maintenance of each machine in the list.
type WaveRow struct {
	Wave           int
	Machines       []string
	CompleteWithin time.Duration // time limit of the wave, counted from the request
	MaxDown        int           // number of machines that may be down at the same time
}

// WaveStateRow records the state of a maintenance wave.
type WaveStateRow struct {
	Wave      int
	Completed bool
}

// WorkerRow is the listing that a worker publishes.
type WorkerRow struct{ chutepool.Listing }

func (SubmissionRow) sealedJobRow()      {}
func (CancelRow) sealedJobRow()          {}
func (CatalogRow) sealedOperatorRow()    {}
func (EvacuationRow) sealedOperatorRow() {}
func (WaveRow) sealedOperatorRow()       {}

func (SubmissionRow) sealedRowValue()   {}
func (CancelRow) sealedRowValue()       {}
func (ProgressRow) sealedRowValue()     {}
func (ProgressPartRow) sealedRowValue() {}
func (LeaderRow) sealedRowValue()       {}
func (HostRow) sealedRowValue()         {}
func (CatalogRow) sealedRowValue()      {}
func (EvacuationRow) sealedRowValue()   {}
func (WaveRow) sealedRowValue()         {}
func (WaveStateRow) sealedRowValue()    {}
func (WorkerRow) sealedRowValue()       {}

// ShardPartition is the partition of the scheduler's rows.
const ShardPartition = "shard-0"

// HostsPartition is the partition of the entry hosts' rows.
const HostsPartition = "hosts"

// IntakePartition is the partition of submissions and cancellations.
const IntakePartition = "intake"

// SubmissionKey returns the key of an accepted job's row.
func SubmissionKey(id chutegraph.JobID) RowKey {
	return RowKey{Table: TableJobs, Partition: IntakePartition, Key: string(id) + ".job"}
}

// CancelKey returns the key of a job's cancellation row.
func CancelKey(id chutegraph.JobID) RowKey {
	return RowKey{Table: TableJobs, Partition: IntakePartition, Key: string(id) + ".cancel"}
}

// ProgressKey returns the key of a job's progress row.
func ProgressKey(id chutegraph.JobID) RowKey {
	return RowKey{Table: TableProgress, Partition: ShardPartition, Key: string(id)}
}

// ProgressPartKey returns the key of a row with some of the tasks of a job. It comes after that of the job's progress row.
func ProgressPartKey(id chutegraph.JobID, number int) RowKey {
	key := ProgressKey(id)
	key.Key += partSeparator + strconv.Itoa(number)
	return key
}

// partSeparator is between the job's id and the number of a part. No id contains it.
const partSeparator = "."

// JobOfProgressKey returns the job to which a row of progress with the key belongs.
func JobOfProgressKey(key string) chutegraph.JobID {
	id, _, _ := strings.Cut(key, partSeparator)
	return chutegraph.JobID(id)
}

// HostKey returns the key of an entry host's row.
func HostKey(host string) RowKey {
	return RowKey{Table: TableHosts, Partition: HostsPartition, Key: host}
}

// WaveKey returns the key of the row that holds the state of a maintenance wave.
func WaveKey(wave int) RowKey {
	return RowKey{Table: TableWaves, Key: "wave/" + strconv.Itoa(wave)}
}

// LeaderKey returns the key of the scheduler's row.
func LeaderKey() RowKey {
	return RowKey{Table: TableLeaders, Partition: ShardPartition, Key: "leader"}
}
