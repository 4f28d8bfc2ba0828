package chutecall

import (
	"slices"
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

// SubmitJob asks for a job to be run. A submitter may repeat it with the same id and specification.
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

// ExplainJob asks why a job is waiting.
type ExplainJob struct {
	Job chutejob.ID `json:"job"`
}

// ListJobs asks for the jobs of one shard.
type ListJobs struct {
	Shard int `json:"shard"`
}

// ShowUse asks what the workspaces use of one shard.
type ShowUse struct {
	Shard int `json:"shard"`
}

// ApplyDocument asks for a change of the operators' document.
type ApplyDocument struct {
	Change chutedocument.Change `json:"change"`
	DryRun bool                 `json:"dry-run"` // check the change without applying it
}

// ShowDocument asks for the operators' document in force.
type ShowDocument struct{}

// ListWorkspaces asks for the workspaces in the document.
type ListWorkspaces struct{}

// Status asks for the state of hosts, shards and backend servers as the entry host knows it.
type Status struct{}

func (SubmitJob) sealedCall()      {}
func (ShowJob) sealedCall()        {}
func (CancelJob) sealedCall()      {}
func (ExplainJob) sealedCall()     {}
func (ListJobs) sealedCall()       {}
func (ShowUse) sealedCall()        {}
func (ApplyDocument) sealedCall()  {}
func (ShowDocument) sealedCall()   {}
func (ListWorkspaces) sealedCall() {}
func (Status) sealedCall()         {}

func (SubmitJob) sealedShardCall()  {}
func (ShowJob) sealedShardCall()    {}
func (CancelJob) sealedShardCall()  {}
func (ExplainJob) sealedShardCall() {}
func (ListJobs) sealedShardCall()   {}
func (ShowUse) sealedShardCall()    {}

// Reply answers a call: one of the types of this package.
//
//sumtype:decl
type Reply interface{ sealedReply() }

// ResultReply contains only a result.
type ResultReply struct {
	Result chuteresult.Result `json:"result"`
}

// JobReply contains a result and one job.
type JobReply struct {
	Result chuteresult.Result `json:"result"`
	Job    chutejob.Job       `json:"job"`
}

// JobsReply contains the jobs of one shard.
type JobsReply struct {
	Jobs []chutejob.Job `json:"jobs"`
}

// ExplainReply explains why a job is waiting.
type ExplainReply struct {
	Job    chutejob.Job `json:"job"`
	Causes []string     `json:"causes"` // each names a cause and what would let the job run
}

// DocumentReply contains the document and, after a change, what the change did.
type DocumentReply struct {
	Result   chuteresult.Result     `json:"result"`
	Document chutedocument.Document `json:"document"`
	Behind   []chutetable.HostID    `json:"behind"`   // live entry hosts that have not confirmed this version
	Warnings []string               `json:"warnings"` // guaranteed shapes that would not fit without one of the zones
}

// WorkspaceUse is what a workspace uses of one shard or of several.
type WorkspaceUse struct {
	InUse   int `json:"in-use"`  // accelerators of jobs from their grant to the end of their attempt
	Waiting int `json:"waiting"` // number of waiting jobs
}

// UseReply contains what the workspaces that have live jobs use of one shard.
type UseReply struct {
	Workspaces map[string]WorkspaceUse `json:"workspaces"`
}

// WorkspaceStatus describes one workspace.
type WorkspaceStatus struct {
	Workspace chutedocument.Workspace `json:"workspace"`
	Use       WorkspaceUse            `json:"use"` // on the shards that answered
}

// WorkspacesReply contains the workspaces in the document.
type WorkspacesReply struct {
	Workspaces    []WorkspaceStatus `json:"workspaces"`
	UnknownShards []int             `json:"unknown-shards"` // shards whose use is not counted
}

// WithUse returns the reply with the use of one more shard added.
func (r WorkspacesReply) WithUse(use UseReply) WorkspacesReply {
	r.Workspaces = slices.Clone(r.Workspaces)
	for i, w := range r.Workspaces {
		u := use.Workspaces[w.Workspace.Name]
		r.Workspaces[i].Use.InUse += u.InUse
		r.Workspaces[i].Use.Waiting += u.Waiting
	}
	return r
}

// WithUnknownShard returns the reply without the use of the shard.
func (r WorkspacesReply) WithUnknownShard(shard int) WorkspacesReply {
	r.UnknownShards = append(slices.Clone(r.UnknownShards), shard)
	return r
}

// HostStatus is the state of one entry host, as the answering host knows it.
type HostStatus struct {
	Host            chutetable.HostID `json:"host"`
	Address         string            `json:"address"`  // address of its peer listener
	Front           string            `json:"front"`    // address of its HTTP front end
	Live            bool              `json:"live"`     // whether its lease is valid
	Linked          bool              `json:"linked"`   // whether it has answered on the peer connection recently
	DocumentVersion int               `json:"document"` // document version that it last reported
}

// ShardStatus is the state of one shard, as the answering host knows it. The fields after Owned are set only if it is
// owned by that host.
type ShardStatus struct {
	Shard    int               `json:"shard"`
	Owner    chutetable.HostID `json:"owner"`
	Epoch    int64             `json:"epoch"`
	Owned    bool              `json:"own"`   // whether the answering host owns the shard
	Ready    bool              `json:"ready"` // whether the owner has recovered the state of the shard
	Workers  int               `json:"workers"`
	Usable   int               `json:"usable"`  // number of accelerators on workers that may start work
	Free     int               `json:"free"`    // number of accelerators that no job holds or has assigned
	Waiting  int               `json:"waiting"` // number of waiting jobs
	Running  int               `json:"running"` // number of jobs that have left the queue and not ended
	Unpacked []string          `json:"lost"`    // guaranteed shapes that cannot be packed at present
}

// BackendStatus is the state of one backend server, as the answering host knows it.
type BackendStatus struct {
	Backend string `json:"backend"`
	Service string `json:"service"`
	State   string `json:"state"`
	Running int    `json:"running"`
	Limit   int    `json:"limit"`
}

// StatusReply contains the state of hosts, shards and backend servers as the answering host knows it.
type StatusReply struct {
	Host            chutetable.HostID `json:"host"`
	DocumentVersion int               `json:"document"`
	Age             time.Duration     `json:"age"` // time since DocumentVersion was last known to be current
	Store           string            `json:"store"`
	Hosts           []HostStatus      `json:"hosts"`
	Shards          []ShardStatus     `json:"shards"`
	Backends        []BackendStatus   `json:"backends"`
}

func (ResultReply) sealedReply()     {}
func (JobReply) sealedReply()        {}
func (JobsReply) sealedReply()       {}
func (ExplainReply) sealedReply()    {}
func (DocumentReply) sealedReply()   {}
func (WorkspacesReply) sealedReply() {}
func (UseReply) sealedReply()        {}
func (StatusReply) sealedReply()     {}

// Refuse returns a reply that contains only a result with the code and the formatted detail.
func Refuse(code chuteresult.Code, format string, values ...any) Reply {
	return ResultReply{Result: chuteresult.New(code, format, values...)}
}

// ResultOf returns the result in the reply, or Done if the reply contains only data.
func ResultOf(reply Reply) chuteresult.Result {
	switch r := reply.(type) {
	case ResultReply:
		return r.Result
	case JobReply:
		return r.Result
	case DocumentReply:
		return r.Result
	case JobsReply, ExplainReply, WorkspacesReply, UseReply, StatusReply:
		return chuteresult.Result{Code: chuteresult.Done}
	}
	return chuteresult.Result{Code: chuteresult.Done}
}
