package chuteoutage

import (
	"maps"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// Window is the time within which crashes count as simultaneous. Workers that crash together are found one after the
// other, as they answer again or their leases expire.
const Window = 4 * time.Second

// judgementInterval is the shortest time between two judgements of the latest crashes.
const judgementInterval = 500 * time.Millisecond

// Place tells where a worker is, and which service it belongs to.
type Place struct {
	Service string
	Zone    string
	Rack    string
}

// scopes returns the places that hold the place: its service, and its zone and rack across services, as far as they are known.
func (p Place) scopes() []Place {
	var scopes []Place
	if p.Service != "" {
		scopes = append(scopes, Place{Service: p.Service})
	}
	if p.Zone != "" {
		scopes = append(scopes, Place{Zone: p.Zone})
	}
	if p.Rack != "" {
		scopes = append(scopes, Place{Zone: p.Zone, Rack: p.Rack})
	}
	return scopes
}

// within reports whether the place is in the scope.
func (p Place) within(scope Place) bool {
	if scope.Service != "" {
		return p.Service == scope.Service
	}
	return p.Zone == scope.Zone && (scope.Rack == "" || p.Rack == scope.Rack)
}

// Crash is the crash of a worker, or its silence.
type Crash struct {
	Worker      string
	Incarnation int64 // of the worker that crashed; 0 if unknown
	Place       Place
	At          time.Time          // when the scheduler found it
	Runs        []chutegraph.RunID // that it may have been running; never modified
}

// runsTaskOf reports whether the worker may have been running a task of the job.
func (c Crash) runsTaskOf(job chutegraph.JobID) bool {
	return slices.ContainsFunc(c.Runs, func(r chutegraph.RunID) bool { return r.Task.Job == job })
}

// sameLife reports whether both are crashes of one incarnation of a worker.
func (c Crash) sameLife(other Crash) bool {
	return c.Worker == other.Worker && c.Incarnation == other.Incarnation
}

// History is the immutable list of the latest crashes of workers.
type History struct {
	crashes  []Crash              // never modified
	changed  bool                 // a crash has been added since the latest WithOutages
	judgedAt time.Time            // time of the latest WithOutages
	outages  map[string]time.Time // when workers of each service last crashed together; never modified
}

// WithCrash returns the history with one more crash, and without those that have no crash within the window any more. Runs
// of an incarnation whose crash is known are added to that crash.
func (h History) WithCrash(c Crash) History {
	var crashes []Crash
	for _, known := range h.crashes {
		switch {
		case known.sameLife(c):
			c.At = known.At
			c.Runs = union(known.Runs, c.Runs)
		case c.At.Sub(known.At) <= 2*Window:
			crashes = append(crashes, known)
		}
	}
	h.crashes = append(crashes, c)
	h.changed = true
	return h
}

// WithoutCrash returns the history without the crash of the incarnation of the worker, with the runs that it may have been
// running.
func (h History) WithoutCrash(worker string, incarnation int64) (History, []chutegraph.RunID) {
	i := slices.IndexFunc(h.crashes, func(c Crash) bool { return c.sameLife(Crash{Worker: worker, Incarnation: incarnation}) })
	if i < 0 {
		return h, nil
	}
	runs := h.crashes[i].Runs
	h.crashes = slices.Delete(slices.Clone(h.crashes), i, i+1)
	return h, runs
}

// union returns the runs of both lists, each once.
func union(a, b []chutegraph.RunID) []chutegraph.RunID {
	all := slices.Clone(a)
	for _, r := range b {
		if !slices.Contains(all, r) {
			all = append(all, r)
		}
	}
	return all
}

// Crashes returns the crashes, in no order of time.
func (h History) Crashes() []Crash {
	return h.crashes
}

// Crashed reports whether a crash of the worker is known.
func (h History) Crashed(worker string) bool {
	return slices.ContainsFunc(h.crashes, func(c Crash) bool { return c.Worker == worker })
}

// Latest returns the crashes that were found within the window before the latest one.
func (h History) Latest() []Crash {
	var newest time.Time
	for _, c := range h.crashes {
		if c.At.After(newest) {
			newest = c.At
		}
	}
	return slices.DeleteFunc(slices.Clone(h.crashes), func(c Crash) bool { return newest.Sub(c.At) > Window })
}

// WithPlaces returns the history with the places of the workers of which none was known.
func (h History) WithPlaces(placeOf func(worker string) Place) History {
	h.crashes = slices.Clone(h.crashes)
	for i, c := range h.crashes {
		if c.Place == (Place{}) {
			h.crashes[i].Place = placeOf(c.Worker)
		}
	}
	return h
}

// JudgementDue reports whether crashes have been found that were not judged yet, and some time has passed since others were.
func (h History) JudgementDue(now time.Time) bool {
	return h.changed && now.Sub(h.judgedAt) >= judgementInterval
}

// WithOutages returns the history after its crashes were judged: workers of the services crashed together.
func (h History) WithOutages(services []string, now time.Time) History {
	h.changed, h.judgedAt = false, now
	if len(services) == 0 {
		return h
	}
	h.outages = maps.Clone(h.outages)
	if h.outages == nil {
		h.outages = make(map[string]time.Time)
	}
	for _, service := range services {
		h.outages[service] = now
	}
	return h
}

// OutageAt returns when it was last found that workers of the service crashed together; zero if never.
func (h History) OutageAt(service string) time.Time {
	return h.outages[service]
}

// Around returns the number of workers of the service that crashed within the window around the time, without those that may
// have been running a task of the job.
func (h History) Around(service string, at time.Time, job chutegraph.JobID) int {
	count := 0
	for _, c := range h.crashes {
		if c.Place.Service == service && at.Sub(c.At).Abs() <= Window && !c.runsTaskOf(job) {
			count++
		}
	}
	return count
}
