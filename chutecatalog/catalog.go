package chutecatalog

import (
	"strings"
	"time"
)

// Queue takes jobs and names the service whose workers run them.
type Queue struct {
	Name       string
	Host       string // that a call must name
	PathPrefix string // that the path of a call must begin with
	Service    string
	Priority   int           // 0 comes first and may preempt others
	Attempts   int           // failed runs of a task after which its job has failed
	Stretch    float64       // of the longest chain of work, for the objective
	Target     time.Duration // added to the objective
	Timeout    time.Duration // of a call
	Public     bool          // takes calls without a key
	Approval   *Approval     // nil where any worker may run a step
}

// Approval describes the service that decides which workers may run a step.
type Approval struct {
	DecisionTime  time.Duration // time of a call
	TimePerWorker time.Duration // more for each worker named
	Validity      time.Duration // of a ticket
}

// Service is a pool of workers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int  // to each worker
	RejectsExcess  bool // its workers refuse what does not fit
	Standby        bool // its machines are off
}

// Workspace owns keys and a guarantee.
type Workspace struct {
	Name                   string
	Keys                   []string
	Priority               int
	GuaranteedAccelerators int // accelerators for its jobs of priority 0
}

// Limits bound the calls of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one immutable version of the configuration.
type Catalog struct {
	Version    int64
	Queues     []Queue
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Known reports whether a configuration has been read at all.
func (c Catalog) Loaded() bool {
	return c.Version > 0
}

// Match returns the queue of a call and the rest of the path behind its prefix; false if there is none.
func (c Catalog) Match(host, path string) (Queue, string, bool) {
	host, _, _ = strings.Cut(host, ":")
	found := -1
	for i, q := range c.Queues {
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if found < 0 || len(q.PathPrefix) > len(c.Queues[found].PathPrefix) {
			found = i
		}
	}
	if found < 0 {
		return Queue{}, "", false
	}
	return c.Queues[found], path[len(c.Queues[found].PathPrefix):], true
}

// Queue returns the queue of the name, and false if there is none.
func (c Catalog) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Workspace returns the workspace of the name, and false if there is none.
func (c Catalog) Workspace(name string) (Workspace, bool) {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// KeyOwner returns the workspace that holds the key, and false if none does.
func (c Catalog) KeyOwner(key string) (Workspace, bool) {
	if key == "" {
		return Workspace{}, false
	}
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			if k == key {
				return w, true
			}
		}
	}
	return Workspace{}, false
}
