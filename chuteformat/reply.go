package chuteformat

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// Reply is the answer to every operators' call in JSON; only the fields of the call are set.
type Reply struct {
	RequestID  string      `json:"request-id"`
	Result     Outcome     `json:"result"`
	Job        *Job        `json:"job,omitempty"`
	Jobs       []Job       `json:"jobs,omitempty"`
	Causes     []string    `json:"causes,omitempty"`
	Document   *Document   `json:"document,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Status     *Status     `json:"status,omitempty"`
}

// Document is the operators' document in JSON.
type Document struct {
	Version          int              `json:"version"`
	TOML             string           `json:"text"` // the whole as TOML
	Sections         map[string]Stamp `json:"sections"`
	UnconfirmedHosts []string         `json:"behind"`   // entry hosts not known to have the version
	Warnings         []string         `json:"warnings"` // guarantees that a zone out would cost
}

// Stamp tells who changed a section.
type Stamp struct {
	Version  int       `json:"version"`
	Team     string    `json:"team"`
	At       time.Time `json:"at"`
	Override bool      `json:"override"`
}

// Workspace is a workspace in JSON.
type Workspace struct {
	Name       string   `json:"name"`
	Team       string   `json:"team"`
	Quota      int      `json:"quota"`
	Guarantees []string `json:"guarantees"`
}

// Status is one entry host's view in JSON.
type Status struct {
	Host            string          `json:"host"`
	DocumentVersion int             `json:"document"`
	DocumentAge     Duration        `json:"document-age"`
	Store           string          `json:"store"`
	Hosts           []StatusHost    `json:"entry-hosts"`
	Shards          []StatusShard   `json:"shards"`
	Backends        []StatusBackend `json:"backend-servers"`
}

// StatusHost is what one entry host knows of another.
type StatusHost struct {
	Host            string `json:"host"`
	FrontAddress    string `json:"front"`
	Live            bool   `json:"live"`
	Linked          bool   `json:"linked"`
	DocumentVersion int    `json:"document"`
}

// StatusShard is a shard's state.
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

// StatusBackend is a backend server's state.
type StatusBackend struct {
	Backend string `json:"backend-server"`
	Service string `json:"service"`
	State   string `json:"state"`
	Running int    `json:"running"`
	Limit   int    `json:"limit"`
}

// FormOfReply returns the reply in its JSON form.
func NewReply(request string, reply chutecall.Reply) (Reply, error) {
	form := Reply{RequestID: request, Result: NewOutcome(chutecall.ResultOf(reply))}
	switch r := reply.(type) {
	case chutecall.ResultReply:
	case chutecall.JobReply:
		job := FormOfJob(r.Job)
		form.Job = &job
	case chutecall.JobsReply:
		for _, j := range r.Jobs {
			form.Jobs = append(form.Jobs, FormOfJob(j))
		}
	case chutecall.ExplainReply:
		job := FormOfJob(r.Job)
		form.Job, form.Causes = &job, r.Causes
	case chutecall.DocumentReply:
		document, err := formOfDocument(r)
		if err != nil {
			return form, err
		}
		form.Document = &document
	case chutecall.WorkspacesReply:
		for _, w := range r.Workspaces {
			form.Workspaces = append(form.Workspaces, formOfWorkspace(w.Workspace))
		}
	case chutecall.StatusReply:
		status := formOfStatus(r)
		form.Status = &status
	}
	return form, nil
}

func formOfDocument(r chutecall.DocumentReply) (Document, error) {
	text, err := FormatDocument(r.Document)
	if err != nil {
		return Document{}, chuteresult.New(chuteresult.Malformed, "document: %s", err.Error())
	}
	form := Document{
		Version: r.Document.Version, TOML: string(text), Sections: make(map[string]Stamp), UnconfirmedHosts: []string{}, Warnings: r.Warnings,
	}
	for _, s := range chutedocument.Sections() {
		form.Sections[string(s)] = Stamp(r.Document.Stamps[s])
	}
	for _, host := range r.Behind {
		form.UnconfirmedHosts = append(form.UnconfirmedHosts, string(host))
	}
	return form, nil
}

func formOfWorkspace(w chutedocument.Workspace) Workspace {
	form := Workspace{Name: w.Name, Team: w.Team, Quota: w.Quota, Guarantees: []string{}}
	for _, g := range w.Guarantees {
		form.Guarantees = append(form.Guarantees, formOfGuarantee(g))
	}
	return form
}

func formOfGuarantee(g chutedocument.Guarantee) string {
	return fmt.Sprintf("%d of %s", g.Count, g.Shape)
}

func formOfStatus(r chutecall.StatusReply) Status {
	form := Status{
		Host: string(r.Host), DocumentVersion: r.Document, DocumentAge: Duration(r.Age.Round(time.Millisecond)), Store: r.Store,
		Hosts: []StatusHost{}, Shards: []StatusShard{}, Backends: []StatusBackend{},
	}
	for _, h := range r.Hosts {
		form.Hosts = append(form.Hosts, StatusHost{
			Host: string(h.Host), FrontAddress: h.Front, Live: h.Live, Linked: h.Linked, DocumentVersion: h.Document,
		})
	}
	for _, s := range r.Shards {
		form.Shards = append(form.Shards, StatusShard{
			Shard: s.Shard, Owner: string(s.Owner), Epoch: s.Epoch, OwnedHere: s.Owned, Ready: s.Ready, Workers: s.Workers,
			UsableAccelerators: s.Usable, FreeAccelerators: s.Free, WaitingJobs: s.Waiting, RunningJobs: s.Running, LostGuarantees: s.Unpacked,
		})
	}
	for _, b := range r.Backends {
		form.Backends = append(form.Backends, StatusBackend(b))
	}
	return form
}
