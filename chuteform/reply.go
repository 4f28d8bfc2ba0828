package chuteform

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// Reply is the JSON form of the reply to an operators' call. Which of the optional fields are set depends on the call.
type Reply struct {
	RequestID  string      `json:"request-id"`
	Result     Outcome     `json:"result"`
	Job        *Job        `json:"job,omitempty"`
	Jobs       []Job       `json:"jobs,omitempty"`
	Causes     []string    `json:"causes,omitempty"`
	Document   *Document   `json:"document,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Uncounted  []int       `json:"uncounted-shards,omitempty"` // shards that the use of the workspaces leaves out
	Status     *Status     `json:"status,omitempty"`
}

// Document is the JSON form of the operators' document.
type Document struct {
	Version          int              `json:"version"`
	TOML             string           `json:"text"` // the whole document, as FormatDocument returns it
	Sections         map[string]Stamp `json:"sections"`
	UnconfirmedHosts []string         `json:"behind"`   // entry hosts that have not confirmed the version
	Warnings         []string         `json:"warnings"` // guarantees that would not fit with one zone out
}

// Stamp is the JSON form of the latest change of a section.
type Stamp struct {
	Version  int       `json:"version"`
	Team     string    `json:"team"`
	At       time.Time `json:"at"`
	Override bool      `json:"override"`
}

// Workspace is the JSON form of a workspace.
type Workspace struct {
	Name       string   `json:"name"`
	Team       string   `json:"team"`
	Quota      int      `json:"quota"`
	Guarantees []string `json:"guarantees"`
	Guaranteed int      `json:"guaranteed"` // accelerators in the guarantees
	Limit      Limit    `json:"limit"`
	Weight     float64  `json:"weight"`
	InUse      int      `json:"in-use"`  // accelerators of jobs from their grant to the end of their attempt
	Waiting    int      `json:"waiting"` // number of waiting jobs
}

// Limit is the JSON form of the limit of a workspace.
type Limit struct {
	Accelerators int `json:"accelerators"` // 0 means no limit
}

// Status is the JSON form of the system's state as one entry host knows it.
type Status struct {
	Host            string          `json:"host"`
	DocumentVersion int             `json:"document"`
	DocumentAge     Duration        `json:"document-age"`
	Store           string          `json:"store"`
	Hosts           []StatusHost    `json:"entry-hosts"`
	Shards          []StatusShard   `json:"shards"`
	Backends        []StatusBackend `json:"backend-servers"`
}

// StatusHost is the state of an entry host, as the entry host that answers knows it.
type StatusHost struct {
	Host            string `json:"host"`
	FrontAddress    string `json:"front"`
	Live            bool   `json:"live"`
	Linked          bool   `json:"linked"`
	DocumentVersion int    `json:"document"`
}

// StatusShard is the state of a shard; the fields from Ready on are set only if the host that answers owns the shard.
type StatusShard struct {
	Shard              int      `json:"shard"`
	Owner              string   `json:"owner"`
	Epoch              int64    `json:"epoch"`
	OwnedHere          bool     `json:"own"`
	Ready              bool     `json:"ready"`
	Workers            int      `json:"workers"`
	UsableAccelerators int      `json:"usable"`
	FreeAccelerators   int      `json:"free"`
	WaitingJobs        int      `json:"waiting"`
	RunningJobs        int      `json:"running"`
	LostGuarantees     []string `json:"lost-guarantees"`
}

// StatusBackend is the state of a backend server, as the entry host that answers knows it.
type StatusBackend struct {
	Backend string `json:"backend-server"`
	Service string `json:"service"`
	State   string `json:"state"`
	Running int    `json:"running"`
	Limit   int    `json:"limit"`
}

// NewReply returns the JSON form of the reply to the request with the given id.
func NewReply(request string, reply chutecall.Reply) (Reply, error) {
	result := Reply{RequestID: request, Result: NewOutcome(chutecall.ResultOf(reply))}
	switch r := reply.(type) {
	case chutecall.ResultReply:
	case chutecall.JobReply:
		job := NewJob(r.Job)
		result.Job = &job
	case chutecall.JobsReply:
		for _, j := range r.Jobs {
			result.Jobs = append(result.Jobs, NewJob(j))
		}
	case chutecall.ExplainReply:
		job := NewJob(r.Job)
		result.Job, result.Causes = &job, r.Causes
	case chutecall.DocumentReply:
		document, err := newDocument(r)
		if err != nil {
			return result, err
		}
		result.Document = &document
	case chutecall.WorkspacesReply:
		for _, w := range r.Workspaces {
			result.Workspaces = append(result.Workspaces, newWorkspace(w))
		}
		result.Uncounted = r.UnknownShards
	case chutecall.UseReply:
	case chutecall.StatusReply:
		status := newStatus(r)
		result.Status = &status
	}
	return result, nil
}

func newDocument(r chutecall.DocumentReply) (Document, error) {
	text, err := FormatDocument(r.Document)
	if err != nil {
		return Document{}, chuteresult.New(chuteresult.Malformed, "document: %s", err.Error())
	}
	document := Document{
		Version: r.Document.Version, TOML: string(text), Sections: make(map[string]Stamp), UnconfirmedHosts: []string{}, Warnings: r.Warnings,
	}
	for _, s := range chutedocument.Sections() {
		document.Sections[string(s)] = Stamp(r.Document.Stamps[s])
	}
	for _, host := range r.Behind {
		document.UnconfirmedHosts = append(document.UnconfirmedHosts, string(host))
	}
	return document, nil
}

func newWorkspace(s chutecall.WorkspaceStatus) Workspace {
	w := s.Workspace
	workspace := Workspace{
		Name: w.Name, Team: w.Team, Quota: w.Quota, Guarantees: []string{}, Guaranteed: w.Guaranteed(),
		Limit: Limit{Accelerators: w.Limit.Accelerators}, Weight: w.ShareWeight(), InUse: s.Use.InUse, Waiting: s.Use.Waiting,
	}
	for _, g := range w.Guarantees {
		workspace.Guarantees = append(workspace.Guarantees, formatGuarantee(g))
	}
	return workspace
}

func formatGuarantee(g chutedocument.Guarantee) string {
	return fmt.Sprintf("%d of %s", g.Count, g.Shape)
}

func newStatus(r chutecall.StatusReply) Status {
	status := Status{
		Host: string(r.Host), DocumentVersion: r.DocumentVersion, DocumentAge: Duration(r.Age.Round(time.Millisecond)), Store: r.Store,
		Hosts: []StatusHost{}, Shards: []StatusShard{}, Backends: []StatusBackend{},
	}
	for _, h := range r.Hosts {
		status.Hosts = append(status.Hosts, StatusHost{
			Host: string(h.Host), FrontAddress: h.Front, Live: h.Live, Linked: h.Linked, DocumentVersion: h.DocumentVersion,
		})
	}
	for _, s := range r.Shards {
		status.Shards = append(status.Shards, StatusShard{
			Shard: s.Shard, Owner: string(s.Owner), Epoch: s.Epoch, OwnedHere: s.Owned, Ready: s.Ready, Workers: s.Workers,
			UsableAccelerators: s.Usable, FreeAccelerators: s.Free, WaitingJobs: s.Waiting, RunningJobs: s.Running, LostGuarantees: s.Unpacked,
		})
	}
	for _, b := range r.Backends {
		status.Backends = append(status.Backends, StatusBackend(b))
	}
	return status
}
