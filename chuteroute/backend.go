package chuteroute

import (
	"slices"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteload"
)

// concurrencyLimits returns the initial and the highest number of concurrent requests that this host sends to one
// backend server.
func (t *transition) concurrencyLimits() (initial, highest float64) {
	hosts := float64(max(1, t.environment.Hosts))
	return max(1, chuteload.Slots/hosts), max(1, float64(int(chuteload.Connections/hosts)))
}

// HandleMembershipListed updates the backend servers from the platform's list of hosts. A server that is no longer
// listed receives no new requests, and is deleted if this host has no requests running on it.
func (s State) HandleMembershipListed(environment Environment, hosts []chuteevent.PlatformHost) (State, []chuteevent.Effect) {
	t := &transition{state: s, environment: environment}
	listed := make(map[string]bool)
	initial, _ := t.concurrencyLimits()
	for _, h := range hosts {
		if h.Role != chuteevent.RoleBackend {
			continue
		}
		listed[h.ID] = true
		b, known := t.state.backends.Get(h.ID)
		if !known {
			b = chuteload.New(h, initial)
		}
		t.state.backends = t.state.backends.Set(h.ID, b.WithListed(h, t.now()))
	}
	for i := s.backends.Iterator(); !i.Done(); {
		id, b, _ := i.Next()
		if !listed[id] && b.Running == 0 {
			t.state.backends = t.state.backends.Delete(id)
		} else if !listed[id] {
			t.state.backends = t.state.backends.Set(id, b.WithUnlisted())
		}
	}
	t.indexServices()
	t.dispatchAll()
	return t.state, t.effects
}

// HandlePeerLoads applies a peer's report of loads and of leaving backend servers. It estimates the load from all other
// hosts as the reporting peer's load times the number of peers. A backend server that a whole report leaves out has no
// load from the peer.
func (s State) HandlePeerLoads(environment Environment, loads []chuteevent.BackendLoad, leaving []string, peers int) State {
	running := make(map[string]int, len(loads))
	for _, l := range loads {
		running[l.Backend] = l.Running * max(1, peers)
	}
	whole := len(loads) < maxReportedLoads
	for i := s.backends.Iterator(); !i.Done(); {
		id, b, _ := i.Next()
		load, reported := running[id]
		if (reported || whole) && b.PeerRunning != load {
			b.PeerRunning = load
			s.backends = s.backends.Set(id, b)
		}
	}
	for _, id := range leaving {
		if b, ok := s.backends.Get(id); ok {
			s.backends = s.backends.Set(id, b.WithLeavingHeard(environment.Now))
		}
	}
	return s
}

// probeSuspected sends a health probe to each suspected backend server that is due for one.
func (t *transition) probeSuspected() {
	for i := t.state.backends.Iterator(); !i.Done(); {
		id, b, _ := i.Next()
		if !b.ProbeDue(t.now()) {
			continue
		}
		t.state.backends = t.state.backends.Set(id, b.WithProbe(t.now()))
		t.emit(chuteevent.ProbeBackend{Backend: id, Address: b.Address})
	}
}

func (t *transition) handleBackendProbed(e chuteevent.BackendProbed) {
	b, ok := t.state.backends.Get(e.Backend)
	if !ok {
		return
	}
	switch {
	case e.Leaving:
		b = b.WithLeaving(t.now())
	case e.Alive && b.State == chuteload.Suspected:
		b = b.WithRecovery()
		t.count("backend-returned", "probe")
	}
	t.state.backends = t.state.backends.Set(e.Backend, b)
}

// maxDraws is the number of random draws of backend servers for one request before the router examines all of them.
const maxDraws = 6

// chooseBackend returns the less loaded of two available backend servers drawn at random, and avoids the given server
// if there is another.
func (t *transition) chooseBackend(service, avoid string) (chuteload.Server, bool) {
	ids, _ := t.state.services.Get(service)
	if len(ids) == 0 {
		return chuteload.Server{}, false
	}
	var best chuteload.Server
	found := 0
	for range maxDraws {
		b, _ := t.state.backends.Get(ids[t.randomBelow(len(ids))])
		if !b.Available() || b.ID == avoid {
			continue
		}
		if found++; found == 1 || b.Load() < best.Load() {
			best = b
		}
		if found == 2 {
			break
		}
	}
	if found > 0 {
		return best, true
	}
	return t.chooseLeastLoaded(ids, avoid)
}

// chooseLeastLoaded returns the least loaded of all available backend servers, the one to avoid only if there is no
// other.
func (t *transition) chooseLeastLoaded(ids []string, avoid string) (chuteload.Server, bool) {
	var best chuteload.Server
	found := false
	for _, id := range ids {
		b, _ := t.state.backends.Get(id)
		if b.Available() && id != avoid && (!found || b.Load() < best.Load()) {
			best, found = b, true
		}
	}
	if found {
		return best, true
	}
	b, known := t.state.backends.Get(avoid)
	return b, known && b.Available() && slices.Contains(ids, avoid)
}

// indexServices rebuilds the map from services to their backend servers.
func (t *transition) indexServices() {
	services := immutable.NewMap[string, []string](nil)
	for i := t.state.backends.Iterator(); !i.Done(); {
		id, b, _ := i.Next()
		ids, _ := services.Get(b.Service)
		services = services.Set(b.Service, append(ids, id))
	}
	t.state.services = services
}

// serviceAvailable reports whether any backend server of the service can receive requests now or later.
func (t *transition) serviceAvailable(service string) bool {
	ids, _ := t.state.services.Get(service)
	return slices.ContainsFunc(ids, func(id string) bool {
		b, _ := t.state.backends.Get(id)
		return b.State != chuteload.Leaving && b.State != chuteload.Unlisted
	})
}
