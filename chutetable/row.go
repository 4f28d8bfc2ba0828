package chutetable

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutelimit"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// Key identifies a row; slashes separate its parts.
type Key string

// Version is a row's version, which grows with every write; an absent row has version 0.
type Version int64

// HostID identifies an entry host.
type HostID string

// Row is the content of a row: one of the types of this package.
//
//sumtype:decl
type Row interface{ sealedRow() }

// HostRow registers an entry host; each write of the row renews the host's lease.
type HostRow struct {
	Host         HostID `json:"host"`
	PeerAddress  string `json:"address"` // address of the peer listener
	FrontAddress string `json:"front"`   // address of the HTTP front end
	BootID       string `json:"boot"`    // unique id of this start of the process
	RenewalCount int64  `json:"beat"`    // number of renewals by this process
	Leaving      bool   `json:"leaving"`
}

// ShardRow records the owner of a shard. Every write of the owner has the row's version as a condition, so that writes
// of an earlier owner fail.
type ShardRow struct {
	Shard  int    `json:"shard"`
	Owner  HostID `json:"owner"` // empty while the shard has no owner
	BootID string `json:"boot"`
	Epoch  int64  `json:"epoch"`
}

// JobRow stores a job.
type JobRow struct {
	Job chutejob.Job `json:"job"`
}

// DocumentRow stores the operators' document, either the current version or one of its history.
type DocumentRow struct {
	Document chutedocument.Document `json:"document"`
}

// IntentRow records, before its dispatch, a request that must not run twice, and later the outcome of the request.
type IntentRow struct {
	RequestID  string             `json:"request"`
	Digest     uint64             `json:"digest"` // hash of the request's content
	Host       HostID             `json:"host"`
	BootID     string             `json:"boot"`
	RecordedAt time.Time          `json:"recorded"`
	Finished   bool               `json:"finished"`
	Result     chuteresult.Result `json:"result"`
	Answer     Answer             `json:"answer"`
}

// LimitRow records how the limit of a workspace is allotted to the shards. The owner of a shard writes it on condition
// that it still owns the shard and that the row is the one that it read.
type LimitRow struct {
	Ledger chutelimit.Ledger `json:"ledger"`
}

// Answer is a backend server's complete answer to a request.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
}

func (HostRow) sealedRow()     {}
func (ShardRow) sealedRow()    {}
func (JobRow) sealedRow()      {}
func (DocumentRow) sealedRow() {}
func (IntentRow) sealedRow()   {}
func (LimitRow) sealedRow()    {}

// StoredRow is a row with its key and version in the table service.
type StoredRow struct {
	Key     Key
	Version Version
	Row     Row
}

// Condition requires that the row has exactly the version.
type Condition struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
}

// Write stores a row under the key, or deletes the key's row if Row is nil.
type Write struct {
	Key Key
	Row Row
}

// The keys and key prefixes that don't depend on a row's content.
const (
	HostPrefix            Key = "host/"
	ShardPrefix           Key = "shard/"
	DocumentHeadKey       Key = "document/head"
	DocumentHistoryPrefix Key = "document/history/"
	IntentPrefix          Key = "intent/"
	LimitPrefix           Key = "limit/"
)

// HostKey returns the key of an entry host's row.
func HostKey(host HostID) Key {
	return HostPrefix + Key(host)
}

// ShardKey returns the key of a shard's row.
func ShardKey(shard int) Key {
	return ShardPrefix + Key(fmt.Sprintf("%04d", shard))
}

// JobPrefix returns the prefix of the keys of a shard's jobs.
func JobPrefix(shard int) Key {
	return Key(fmt.Sprintf("job/%04d/", shard))
}

// JobKey returns the key of a job's row.
func JobKey(shard int, job chutejob.ID) Key {
	return JobPrefix(shard) + Key(job)
}

// DocumentHistoryKey returns the key of one version of the document in its history.
func DocumentHistoryKey(version int) Key {
	return DocumentHistoryPrefix + Key(fmt.Sprintf("%010d", version))
}

// IntentKey returns the key of the intent row of a request id.
func IntentKey(requestID string) Key {
	return IntentPrefix + Key(requestID)
}

// LimitKey returns the key of the row that allots the limit of a workspace.
func LimitKey(workspace string) Key {
	return LimitPrefix + Key(workspace)
}
