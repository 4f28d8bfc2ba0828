package chuteroute

import (
	"slices"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteload"
)

// share returns the requests at once with which this host starts on a backend server, and the most it may reach.
func (t *turn) share() (start, most float64) {
	hosts := float64(max(1, t.environment.Hosts))
	return max(1, chuteload.Slots/hosts), max(1, float64(int(chuteload.Connections/hosts)))
}

// Listed enters the platform's list of hosts.
func (s State) HandleMembershipListed(environment Environment, hosts []chuteevent.PlatformHost) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	listed := make(map[string]bool)
	start, _ := t.share()
	for _, h := range hosts {
		if h.Role != chuteevent.RoleBackend {
			continue
		}
		listed[h.ID] = true
		b, known := t.state.backends.Get(h.ID)
		if !known {
			b = chuteload.New(h, start)
		}
		t.state.backends = t.state.backends.Set(h.ID, b.WithListed(h, t.now()))
	}
	for i := s.backends.Iterator(); !i.Done(); {
		id, b, _ := i.Next()
		if !listed[id] && b.Running == 0 {
			t.state.backends = t.state.backends.Delete(id)
		} else if !listed[id] {
			t.state.backends = t.state.backends.Set(id, b.WithLeaving(t.now()))
		}
	}
	t.index()
	t.dispatchAll()
	return t.state, t.effects
}

// Told enters what a peer told of loads and of leaving backend servers.
func (s State) HandlePeerLoads(environment Environment, loads []chuteevent.BackendLoad, leaving []string, share int) State {
	for _, l := range loads {
		if b, ok := s.backends.Get(l.Backend); ok {
			b.PeerRunning = l.Running * max(1, share)
			s.backends = s.backends.Set(l.Backend, b)
		}
	}
	for _, id := range leaving {
		if b, ok := s.backends.Get(id); ok {
			s.backends = s.backends.Set(id, b.WithLeaving(environment.Now))
		}
	}
	return s
}

// probe asks suspected backend servers for a sign of life.
func (t *turn) probe() {
	for i := t.state.backends.Iterator(); !i.Done(); {
		id, b, _ := i.Next()
		if !b.ProbeDue(t.now()) {
			continue
		}
		t.state.backends = t.state.backends.Set(id, b.WithProbe(t.now()))
		t.emit(chuteevent.ProbeBackend{Backend: id, Address: b.Address})
	}
}

func (t *turn) probed(e chuteevent.BackendProbed) {
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

// draws is how many backend servers are drawn for one request before all are looked at.
const draws = 6

// choose returns the less loaded of two open backend servers drawn at random, other than the one to avoid if possible.
func (t *turn) choose(service, avoid string) (chuteload.Server, bool) {
	ids, _ := t.state.services.Get(service)
	if len(ids) == 0 {
		return chuteload.Server{}, false
	}
	var best chuteload.Server
	found := 0
	for range draws {
		b, _ := t.state.backends.Get(ids[t.draw(len(ids))])
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
	return t.chooseAny(ids, avoid)
}

// chooseAny returns the least loaded open backend server of all, the one to avoid only if there is no other.
func (t *turn) chooseAny(ids []string, avoid string) (chuteload.Server, bool) {
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

// index lists the backend servers of each service anew.
func (t *turn) index() {
	services := immutable.NewMap[string, []string](nil)
	for i := t.state.backends.Iterator(); !i.Done(); {
		id, b, _ := i.Next()
		ids, _ := services.Get(b.Service)
		services = services.Set(b.Service, append(ids, id))
	}
	t.state.services = services
}

// served reports whether any backend server of the service may get work now or later.
func (t *turn) served(service string) bool {
	ids, _ := t.state.services.Get(service)
	return slices.ContainsFunc(ids, func(id string) bool {
		b, _ := t.state.backends.Get(id)
		return b.State != chuteload.Leaving
	})
}
