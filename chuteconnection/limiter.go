package chuteconnection

import (
	"bytes"
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutebudget"
)

const (
	// reportInterval is the time between two reports of refused clients in the log.
	reportInterval = 10 * time.Second
	// maxReported is the largest number of addresses in one report.
	maxReported = 3
	// maxVictims is the largest number of connections that are examined for one to close. Unread bytes are rare, as the
	// server reads as soon as they arrive.
	maxVictims = 16
	// maxRefusals is the largest number of addresses and reasons that are counted between two reports.
	maxRefusals = 1024
)

// Recorder records metrics: counters by reason, and gauges.
type Recorder interface {
	Count(counter, reason string)
	SetGauge(name string, value float64)
}

// refusal is why a client of the address was refused.
type refusal struct {
	from   chutebudget.Address
	reason string
}

// Limiter limits the clients of one server. It is safe for concurrent use.
type Limiter struct {
	name     string // of the server, in log lines
	recorder Recorder
	log      *slog.Logger

	mutex       sync.Mutex
	account     chutebudget.Account
	connections map[*Conn]struct{}
	refusals    map[refusal]int // since the latest report
	released    chan struct{}   // closed when bytes are given back; nil if nobody waits
}

// New returns a limiter for the server of the name.
func New(name string, limits chutebudget.Limits, recorder Recorder, log *slog.Logger) *Limiter {
	return &Limiter{
		name: name, recorder: recorder, log: log, account: chutebudget.NewAccount(limits),
		connections: make(map[*Conn]struct{}), refusals: make(map[refusal]int),
	}
}

// Limits returns the limits that the limiter enforces.
func (l *Limiter) Limits() chutebudget.Limits {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.account.Limits()
}

// Use returns what all clients hold.
func (l *Limiter) Use() chutebudget.Use {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.account.Total()
}

// admit returns the connection under the limits, or nil if it is refused. It may close a connection without a request.
func (l *Limiter) admit(connection net.Conn) *Conn {
	c := newConn(connection, l)
	claim := chutebudget.Connection{From: c.from}
	l.mutex.Lock()
	account, verdict := l.account.Admit(claim)
	var victim *Conn
	if verdict != chutebudget.VerdictAdmitted {
		if victim = l.chooseVictim(claim, verdict); victim != nil {
			l.forget(victim)
			account, verdict = l.account.Admit(claim)
		}
	}
	if verdict == chutebudget.VerdictAdmitted {
		l.account = account
		l.connections[c] = struct{}{}
	}
	l.mutex.Unlock()
	if victim != nil {
		l.recorder.Count("connection-closed", "for-another")
		victim.abort()
	}
	if verdict != chutebudget.VerdictAdmitted {
		l.Refuse(c.from, verdict.String())
		return nil
	}
	return c
}

// chooseVictim claims the connection that is closed for a new one and returns it, or nil if there is none. It passes over
// connections with unread bytes, whose clients have sent a request that the server has not read yet, and over those that
// have left their phase meanwhile. The mutex must be held.
func (l *Limiter) chooseVictim(claim chutebudget.Connection, verdict chutebudget.Verdict) *Conn {
	open, phases := make([]*Conn, 0, len(l.connections)), make([]*phase, 0, len(l.connections))
	candidates := make([]chutebudget.Candidate, 0, len(l.connections))
	now := time.Now()
	for c := range l.connections {
		p := c.phase.Load()
		open, phases, candidates = append(open, c), append(phases, p), append(candidates, c.candidate(p, now))
	}
	for range maxVictims {
		i, ok := l.account.ChooseVictim(candidates, claim, verdict)
		if !ok {
			return nil
		}
		if !hasUnread(open[i].Conn) && open[i].claim(phases[i]) {
			return open[i]
		}
		open, phases, candidates = slices.Delete(open, i, i+1), slices.Delete(phases, i, i+1), slices.Delete(candidates, i, i+1)
	}
	return nil
}

// closeOne closes a connection without a request, if there is one, to free a descriptor.
func (l *Limiter) closeOne() {
	l.mutex.Lock()
	victim := l.chooseVictim(chutebudget.Connection{}, chutebudget.VerdictConnections)
	if victim != nil {
		l.forget(victim)
	}
	l.mutex.Unlock()
	if victim != nil {
		l.recorder.Count("connection-closed", "descriptors")
		victim.abort()
	}
}

// forget removes the connection from the account. The mutex must be held.
func (l *Limiter) forget(c *Conn) {
	if _, ok := l.connections[c]; ok {
		delete(l.connections, c)
		l.account = l.account.WithoutClaim(chutebudget.Connection{From: c.from})
	}
}

// remove removes a closed connection from the account.
func (l *Limiter) remove(c *Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(c)
}

// claim decides on a claim for bytes.
func (l *Limiter) claim(claim chutebudget.Claim) chutebudget.Verdict {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	account, verdict := l.account.Admit(claim)
	l.account = account
	return verdict
}

// claimWithin decides on a claim for bytes, and waits for others to give bytes back until the context ends.
func (l *Limiter) claimWithin(ctx context.Context, claim chutebudget.Body) chutebudget.Verdict {
	for {
		l.mutex.Lock()
		account, verdict := l.account.Admit(claim)
		l.account = account
		if verdict == chutebudget.VerdictAdmitted || !account.Limits().Allow(claim) {
			l.mutex.Unlock()
			return verdict
		}
		if l.released == nil {
			l.released = make(chan struct{})
		}
		released := l.released
		l.mutex.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
			return verdict
		}
	}
}

// release gives bytes of the address back.
func (l *Limiter) release(from chutebudget.Address, bytes int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.account = l.account.WithUse(from, chutebudget.Use{Bytes: -bytes})
	if l.released != nil {
		close(l.released)
		l.released = nil
	}
}

// Refuse counts a client of the address that was refused for the reason.
func (l *Limiter) Refuse(from chutebudget.Address, reason string) {
	l.recorder.Count("client-refused", reason)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.refusals) < maxRefusals {
		l.refusals[refusal{from, reason}]++
	}
}

// SetState is the hook of the HTTP server for the states of its connections.
func (l *Limiter) SetState(connection net.Conn, state fasthttp.ConnState) {
	c, ok := connection.(*Conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.setPhase(chutebudget.PhaseReading)
	case fasthttp.StateIdle:
		c.hold.Release()
		c.setPhase(chutebudget.PhaseIdle)
	case fasthttp.StateClosed:
		c.hold.Release()
	case fasthttp.StateHijacked:
		c.setPhase(chutebudget.PhaseServing)
	case fasthttp.StateNew:
	}
}

// RunReports logs the addresses of which most clients were refused, and sets the gauges of what clients hold, until the
// context ends.
func (l *Limiter) RunReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.report()
		case <-ctx.Done():
			return
		}
	}
}

func (l *Limiter) report() {
	l.mutex.Lock()
	refusals, use := l.refusals, l.account.Total()
	l.refusals = make(map[refusal]int)
	l.mutex.Unlock()
	l.recorder.SetGauge(l.name+"-connections", float64(use.Connections))
	l.recorder.SetGauge(l.name+"-held-bytes", float64(use.Bytes))
	refused := make([]refusal, 0, len(refusals))
	for r := range refusals {
		refused = append(refused, r)
	}
	slices.SortFunc(refused, func(a, b refusal) int {
		return cmp.Or(cmp.Compare(refusals[b], refusals[a]), bytes.Compare(a.from[:], b.from[:]), cmp.Compare(a.reason, b.reason))
	})
	for _, r := range refused[:min(len(refused), maxReported)] {
		l.log.Warn(l.name+": clients over the limits were refused", "address", netip.AddrFrom16(r.from).Unmap().String(), "reason", r.reason,
			"count", refusals[r], "connections", use.Connections, "held-bytes", use.Bytes)
	}
}
