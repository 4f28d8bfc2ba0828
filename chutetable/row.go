package chutetable

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// Key names a row; slashes separate its parts.
type Key string

// Version grows with every write of a row; an absent row has version 0.
type Version int64

// HostID names an entry host.
type HostID string

// Row is the content of a row: one of the types of this package.
//
//sumtype:decl
type Row interface{ sealedRow() }

// HostRow registers an entry host; each write of it renews the host's lease.
type HostRow struct {
	Host         HostID `json:"host"`
	PeerAddress  string `json:"address"` // of its peer listener
	FrontAddress string `json:"front"`   // of its HTTP front end
	Boot         string `json:"boot"`    // differs for each start of the process
	RenewalCount int64  `json:"beat"`
	Leaving      bool   `json:"leaving"`
}

// ShardRow names the owner of a shard. Its version fences every write of the owner.
type ShardRow struct {
	Shard int    `json:"shard"`
	Owner HostID `json:"owner"` // empty while free
	Boot  string `json:"boot"`
	Epoch int64  `json:"epoch"`
}

// JobRow holds a job.
type JobRow struct {
	Job chutejob.Job `json:"job"`
}

// DocumentRow holds the operators' document, or one version of its history.
type DocumentRow struct {
	Document chutedocument.Document `json:"document"`
}

// IntentRow records that a request which must not run twice is or was dispatched, and its outcome.
type IntentRow struct {
	RequestID  string             `json:"request"`
	Digest     uint64             `json:"digest"` // of the request's content
	Host       HostID             `json:"host"`
	Boot       string             `json:"boot"`
	RecordedAt time.Time          `json:"recorded"`
	Finished   bool               `json:"finished"`
	Result     chuteresult.Result `json:"result"`
	Answer     Answer             `json:"answer"`
}

// Answer is a backend server's whole answer to a request.
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

// Stored is a row as the table service holds it.
type StoredRow struct {
	Key     Key
	Version Version
	Row     Row
}

// Condition holds if the row has exactly the version.
type Condition struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
}

// Write replaces a row; a nil row deletes it.
type Write struct {
	Key Key
	Row Row
}

// The prefixes of the keys.
const (
	HostPrefix      Key = "host/"
	ShardPrefix     Key = "shard/"
	DocumentHeadKey Key = "document/head"
	DocumentPrefix  Key = "document/history/"
	IntentPrefix    Key = "intent/"
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

// HistoryKey returns the key of one version of the document.
func DocumentHistoryKey(version int) Key {
	return DocumentPrefix + Key(fmt.Sprintf("%010d", version))
}

// IntentKey returns the key of a request's intent.
func IntentKey(request string) Key {
	return IntentPrefix + Key(request)
}
