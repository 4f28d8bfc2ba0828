package chutecall

import (
	"time"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

// Call is a request of an operator or submitter: one of the types of this package.
//
//sumtype:decl
type Call interface{ sealedCall() }

// ShardCall is a call that the owner of one shard answers.
//
//sumtype:decl
type ShardCall interface {
	Call
	sealedShardCall()
}

// SubmitJob asks for a job to be run. The same id and specification may be submitted again.
type SubmitJob struct {
	Job  chutejob.ID   `json:"job"`
	Spec chutejob.Spec `json:"spec"`
}

// ShowJob asks for the state of a job.
type ShowJob struct {
	Job chutejob.ID `json:"job"`
}

// CancelJob asks for a job to be cancelled.
type CancelJob struct {
	Job chutejob.ID `json:"job"`
}

// ExplainJob asks why a job waits.
type ExplainJob struct {
	Job chutejob.ID `json:"job"`
}

// ListJobs asks for the jobs of one shard.
type ListJobs struct {
	Shard int `json:"shard"`
}

// ApplyDocument proposes a change of the operators' document.
type ApplyDocument struct {
	Change chutedocument.Change `json:"change"`
	DryRun bool                 `json:"dry-run"`
}

// ShowDocument asks for the document in force.
type ShowDocument struct{}

// ListWorkspaces asks for the workspaces.
type ListWorkspaces struct{}

// Status asks what the entry host knows of hosts, shards and workers.
type Status struct{}

func (SubmitJob) sealedCall()      {}
func (ShowJob) sealedCall()        {}
func (CancelJob) sealedCall()      {}
func (ExplainJob) sealedCall()     {}
func (ListJobs) sealedCall()       {}
func (ApplyDocument) sealedCall()  {}
func (ShowDocument) sealedCall()   {}
func (ListWorkspaces) sealedCall() {}
func (Status) sealedCall()         {}

func (SubmitJob) sealedShardCall()  {}
func (ShowJob) sealedShardCall()    {}
func (CancelJob) sealedShardCall()  {}
func (ExplainJob) sealedShardCall() {}
func (ListJobs) sealedShardCall()   {}

// Reply answers a call: one of the types of this package.
//
//sumtype:decl
type Reply interface{ sealedReply() }

// ResultReply carries a result alone.
type ResultReply struct {
	Result chuteresult.Result `json:"result"`
}

// JobReply carries one job.
type JobReply struct {
	Result chuteresult.Result `json:"result"`
	Job    chutejob.Job       `json:"job"`
}

// JobsReply carries the jobs of a shard.
type JobsReply struct {
	Jobs []chutejob.Job `json:"jobs"`
}

// ExplainReply tells why a job waits and what would let it run.
type ExplainReply struct {
	Job    chutejob.Job `json:"job"`
	Causes []string     `json:"causes"`
}

// DocumentReply carries the document and what a change did.
type DocumentReply struct {
	Result   chuteresult.Result     `json:"result"`
	Document chutedocument.Document `json:"document"`
	Behind   []chutetable.HostID    `json:"behind"`   // live entry hosts not known to have this version
	Warnings []string               `json:"warnings"` // guarantees that would be lost with a zone out
}

// WorkspaceStatus tells how a workspace stands.
type WorkspaceStatus struct {
	Workspace chutedocument.Workspace `json:"workspace"`
}

// WorkspacesReply carries the workspaces of the document.
type WorkspacesReply struct {
	Workspaces []WorkspaceStatus `json:"workspaces"`
}

// HostStatus is what one entry host knows of another.
type HostStatus struct {
	Host     chutetable.HostID `json:"host"`
	Address  string            `json:"address"`
	Front    string            `json:"front"`
	Live     bool              `json:"live"`
	Linked   bool              `json:"linked"`   // the mesh link has answered lately
	Document int               `json:"document"` // version that it last told
}

// ShardStatus is what the entry host knows of a shard.
type ShardStatus struct {
	Shard    int               `json:"shard"`
	Owner    chutetable.HostID `json:"owner"`
	Epoch    int64             `json:"epoch"`
	Owned    bool              `json:"own"` // the figures below are known to the owner alone
	Ready    bool              `json:"ready"`
	Workers  int               `json:"workers"`
	Usable   int               `json:"usable"` // accelerators of workers that may start work
	Free     int               `json:"free"`
	Waiting  int               `json:"waiting"`
	Running  int               `json:"running"`
	Unpacked []string          `json:"lost"` // guaranteed shapes that cannot be honoured
}

// BackendStatus is what the entry host knows of a backend server.
type BackendStatus struct {
	Backend string `json:"backend"`
	Service string `json:"service"`
	State   string `json:"state"`
	Running int    `json:"running"`
	Limit   int    `json:"limit"`
}

// StatusReply is one entry host's view.
type StatusReply struct {
	Host     chutetable.HostID `json:"host"`
	Document int               `json:"document"`
	Age      time.Duration     `json:"age"` // since the version was proved current
	Store    string            `json:"store"`
	Hosts    []HostStatus      `json:"hosts"`
	Shards   []ShardStatus     `json:"shards"`
	Backends []BackendStatus   `json:"backends"`
}

func (ResultReply) sealedReply()     {}
func (JobReply) sealedReply()        {}
func (JobsReply) sealedReply()       {}
func (ExplainReply) sealedReply()    {}
func (DocumentReply) sealedReply()   {}
func (WorkspacesReply) sealedReply() {}
func (StatusReply) sealedReply()     {}

// Refuse returns a reply with the result alone.
func Refuse(code chuteresult.Code, format string, values ...any) Reply {
	return ResultReply{Result: chuteresult.New(code, format, values...)}
}

// ResultOf returns the result that a reply carries, Done for plain data.
func ResultOf(reply Reply) chuteresult.Result {
	switch r := reply.(type) {
	case ResultReply:
		return r.Result
	case JobReply:
		return r.Result
	case DocumentReply:
		return r.Result
	case JobsReply, ExplainReply, WorkspacesReply, StatusReply:
		return chuteresult.Result{Code: chuteresult.Done}
	}
	return chuteresult.Result{Code: chuteresult.Done}
}
