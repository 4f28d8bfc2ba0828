package chutecatalog

import (
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
)

// Queue accepts jobs under a host and path prefix, and determines the service whose workers run them.
type Queue struct {
	Name       string
	Host       string        // host name that a call must have
	PathPrefix string        // prefix that the path of a call must have
	Service    string        // name of the service
	Priority   int           // 0 is the highest priority and may preempt others
	Attempts   int           // number of failed runs of a task after which its job fails
	Stretch    float64       // a job's duration objective is its critical path times Stretch, plus Target
	Target     time.Duration // see Stretch
	Timeout    time.Duration // time limit of a call
	Public     bool          // accepts calls without an API key
	Approval   *Approval     // nil if any worker may run a step
}

// Approval holds the parameters of the service that approves the workers that may run a step.
type Approval struct {
	DecisionTime  time.Duration // time that the service takes for a request
	TimePerWorker time.Duration // additional time for each worker in a request
	Validity      time.Duration // how long a ticket is valid
}

// RequestTime returns how long the service takes for a request that names so many workers.
func (a Approval) RequestTime(workers int) time.Duration {
	return max(0, a.DecisionTime) + time.Duration(workers)*max(0, a.TimePerWorker)
}

// Service is a pool of workers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int  // limit for each worker
	RejectsExcess  bool // its workers refuse runs that do not fit
	Standby        bool // its machines are powered off
}

// Workspace is a tenant with its API keys, its guarantee, its quota and its weight.
type Workspace struct {
	Name                   string
	Keys                   []string
	Priority               int
	GuaranteedAccelerators int                     // accelerators guaranteed to its jobs of priority 0
	Limit                  chutecapacity.Resources // its quota: what its runs may request at once; 0 is no limit, per resource
	Weight                 float64                 // its fair share relative to that of the others; 0 counts as 1
}

// Limits are the limits for the calls of clients.
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

// Loaded reports whether the catalog holds a configuration, and not the zero value.
func (c Catalog) Loaded() bool {
	return c.Version > 0
}

// Match returns the queue with the longest matching path prefix and the path after that prefix, and false if no queue
// matches.
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

// Queue returns the queue with the name, and false if there is none.
func (c Catalog) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Workspace returns the workspace with the name, and false if there is none.
func (c Catalog) Workspace(name string) (Workspace, bool) {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// KeyOwner returns the workspace that owns the API key, and false if none does.
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
