package chutesimulation

import (
	"fmt"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutecore"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutetable"
)

// Host is a simulated entry host.
type Host struct {
	ID              chutetable.HostID
	State           chutecore.State
	Stopped         bool // a planned stop has completed
	alive           bool
	paused          bool
	pendingEvents   []chuteevent.Event // events that arrived during a pause
	boot            int
	storeCut        bool // the host cannot reach the store
	documentVersion int  // largest version in force since the latest restart
	commits         []chuteevent.CommitTable
	committing      bool
}

// Restart starts the host with an empty state, also after a crash or a planned stop.
func (s *Simulation) Restart(index int) {
	h := s.Hosts[index]
	h.boot++
	boot := h.boot
	h.alive, h.paused, h.pendingEvents, h.Stopped, h.documentVersion = true, false, nil, false, 0
	h.commits, h.committing = nil, false
	h.State = chutecore.New(chutetable.HostRow{
		Host: h.ID, PeerAddress: string(h.ID), BootID: fmt.Sprintf("%s-%d", h.ID, boot),
	}, s.random.Uint64())
	s.runTicks(h, boot)
}

func (s *Simulation) runTicks(h *Host, boot int) {
	if h.boot != boot || !h.alive {
		return
	}
	s.deliver(h, boot, chuteevent.Tick{})
	s.schedule(s.tick, func() { s.runTicks(h, boot) })
}

// Crash ends the host immediately.
func (s *Simulation) Crash(index int) {
	s.Hosts[index].alive = false
	s.Hosts[index].boot++
}

// Alive reports whether the host is running.
func (s *Simulation) Alive(index int) bool {
	return s.Hosts[index].alive
}

// Pause stops the core of the host. Events that arrive, except ticks, wait until Resume.
func (s *Simulation) Pause(index int) {
	s.Hosts[index].paused = true
}

// Resume delivers the waiting events and ends a pause.
func (s *Simulation) Resume(index int) {
	h := s.Hosts[index]
	h.paused = false
	pending := h.pendingEvents
	h.pendingEvents = nil
	for _, e := range pending {
		s.deliver(h, h.boot, e)
	}
}

// Stop requests a planned stop of the host.
func (s *Simulation) Stop(index int) {
	h := s.Hosts[index]
	s.deliver(h, h.boot, chuteevent.StopRequested{})
}

// SetStoreCut sets whether the host is cut off from the store.
func (s *Simulation) SetStoreCut(index int, cut bool) {
	s.Hosts[index].storeCut = cut
}

// SetLinkCut sets whether messages from one host to another are lost.
func (s *Simulation) SetLinkCut(from, to int, cut bool) {
	s.cutLinks[[2]chutetable.HostID{s.Hosts[from].ID, s.Hosts[to].ID}] = cut
}

// Call makes a call at the host and returns its id, under which the reply appears in Replies.
func (s *Simulation) Call(index int, call chutecall.Call) chuteevent.CallID {
	s.latestCall++
	h := s.Hosts[index]
	s.deliver(h, h.boot, chuteevent.CallArrived{ID: s.latestCall, RequestID: fmt.Sprint(s.latestCall), Call: call})
	return s.latestCall
}

// deliver hands the event to the core of the host, unless the host has stopped or restarted since that boot.
func (s *Simulation) deliver(h *Host, boot int, event chuteevent.Event) {
	if !h.alive || h.boot != boot {
		return
	}
	if h.paused {
		if _, isTick := event.(chuteevent.Tick); !isTick {
			h.pendingEvents = append(h.pendingEvents, event)
		}
		return
	}
	state, effects := chutecore.Step(h.State, chuteevent.TimedEvent{At: s.Now, Event: event})
	h.State = state
	if v := state.Document().Version; v < h.documentVersion {
		s.ReportViolation("host %s went back from document version %d to %d", h.ID, h.documentVersion, v)
	} else {
		h.documentVersion = v
	}
	for _, e := range effects {
		s.execute(h, e)
	}
}
