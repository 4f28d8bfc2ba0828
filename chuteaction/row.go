package chuteaction

import (
	"strconv"
	"time"

	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Table is one of the tables that the core reads.
type Table int

// The tables.
const (
	TableOperator Table = iota + 1 // written by the operators
	TableWorkers                   // written by the workers
	TableJobs                      // submissions and cancellations, written by any entry host
	TableProgress                  // written by the scheduler
	TableLeaders                   // one row for each shard
	TableHosts                     // written by each entry host at its start
	TableWaves                     // progress of waves of maintenance
)

var tableNames = []string{"", "operator", "workers", "jobs", "progress", "leaders", "hosts", "waves"}

// String returns the kebab-case name of the table.
func (t Table) String() string {
	if t < TableOperator || t > TableWaves {
		return "invalid"
	}
	return tableNames[t]
}

// RowKey names a row. Rows of one transaction share a part.
type RowKey struct {
	Table     Table
	Partition string
	Key       string
}

// RowVersion is the number of the transaction that wrote a row; 0 stands for an absent row.
type RowVersion int64

// Row is a row of the store. Its value is nil if it was dropped or cannot be read.
type Row struct {
	RowKey
	Version RowVersion
	Value   RowValue
	Deleted bool
}

// RowValue is what a row holds: one of the types below.
//
//sumtype:decl
type RowValue interface{ sealedRowValue() }

// JobRow is a row about a job that entry hosts write for their callers: one of SubmissionRow and CancelRow.
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

// CancelRow records that a job is cancelled.
type CancelRow struct{ Job chutegraph.JobID }

// ProgressRow records how far a job has come.
type ProgressRow struct {
	Job chutegraph.JobID
	chutetask.Progress
}

// LeaderRow names the scheduler of a shard. Every write of the scheduler rewrites it, on condition of its version.
type LeaderRow struct {
	Epoch    int64          // rises with each scheduler; fences the orders to workers
	Host     string         // of the scheduler
	Process  string         // of the scheduler, new at each start
	Sequence int64          // rises with each write
	Released bool           // the scheduler has stopped; anyone may take over
	Pending  map[string]int // by queue: accepted jobs of which no task has started
}

// HostRow tells which process of an entry host runs; a former one has ended.
type HostRow struct {
	Host    string
	Process string
	Address string  // where the host takes requests to the store from others
	Share   float64 // of a core that the host may use
}

// CatalogRow holds the configuration in force.
type CatalogRow struct{ chutecatalog.Catalog }

// EvacuationRow asks that nothing more starts in a zone, or takes the zone back.
type EvacuationRow struct {
	Zone  string
	Ended bool
}

// WaveRow asks for maintenance of machines.
type WaveRow struct {
	Wave           int
	Machines       []string
	CompleteWithin time.Duration // since the request
	MaxDown        int           // machines that may be down at once
}

// WaveStateRow tells how far a wave has come.
type WaveStateRow struct {
	Wave      int
	Completed bool
}

// WorkerRow is what a worker says of itself.
type WorkerRow struct{ chutepool.Listing }

func (SubmissionRow) sealedJobRow()      {}
func (CancelRow) sealedJobRow()          {}
func (CatalogRow) sealedOperatorRow()    {}
func (EvacuationRow) sealedOperatorRow() {}
func (WaveRow) sealedOperatorRow()       {}

func (SubmissionRow) sealedRowValue() {}
func (CancelRow) sealedRowValue()     {}
func (ProgressRow) sealedRowValue()   {}
func (LeaderRow) sealedRowValue()     {}
func (HostRow) sealedRowValue()       {}
func (CatalogRow) sealedRowValue()    {}
func (EvacuationRow) sealedRowValue() {}
func (WaveRow) sealedRowValue()       {}
func (WaveStateRow) sealedRowValue()  {}
func (WorkerRow) sealedRowValue()     {}

// ShardPart is the part that holds the rows of the scheduler.
const ShardPartition = "shard-0"

// HostsPart is the part that holds the rows of the entry hosts.
const HostsPartition = "hosts"

// IntakePart is the part that holds submissions and cancellations.
const IntakePartition = "intake"

// SubmissionKey names the row of an accepted job.
func SubmissionKey(id chutegraph.JobID) RowKey {
	return RowKey{Table: TableJobs, Partition: IntakePartition, Key: string(id) + ".job"}
}

// CancelKey names the row of a cancellation.
func CancelKey(id chutegraph.JobID) RowKey {
	return RowKey{Table: TableJobs, Partition: IntakePartition, Key: string(id) + ".cancel"}
}

// ProgressKey names the row of a job's progress.
func ProgressKey(id chutegraph.JobID) RowKey {
	return RowKey{Table: TableProgress, Partition: ShardPartition, Key: string(id)}
}

// HostKey names the row of an entry host.
func HostKey(host string) RowKey {
	return RowKey{Table: TableHosts, Partition: HostsPartition, Key: host}
}

// WaveKey names the row that tells how far a wave has come.
func WaveKey(wave int) RowKey {
	return RowKey{Table: TableWaves, Key: "wave/" + strconv.Itoa(wave)}
}

// LeaderKey names the row of the scheduler.
func LeaderKey() RowKey {
	return RowKey{Table: TableLeaders, Partition: ShardPartition, Key: "leader"}
}
