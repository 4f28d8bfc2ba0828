package chuterevision

import (
	"fmt"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// Freshness is the age up to which a document counts as current for starting work.
	Freshness = 2 * time.Second
	// readInterval is the time between two reads of the head.
	readInterval = time.Second
	// maxTries is the number of times that a change is tried against concurrent ones.
	maxTries = 8
	// confirmLimit is how long the answer to a change waits for the other entry hosts.
	confirmLimit = 2500 * time.Millisecond
)

// Environment is what the keeper is told with each event.
type Environment struct {
	Now      time.Time
	Boot     string
	Topology chutetopology.Topology
	StoreUp  bool
	Peers    []chutetable.HostRow // live ones
}

// Origin tells where a call came from.
type Origin struct {
	ID   chuteevent.CallID
	From chutetable.HostID
}

// change is a proposal on its way.
type change struct {
	origin Origin
	call   chutecall.ApplyDocument
	tries  int
	next   chutedocument.Document // being committed, of version 0 before
}

// confirmation is an accepted change whose answer waits for the other entry hosts.
type confirmation struct {
	origin   Origin
	version  int
	warnings []string
	deadline time.Time
}

// State is the immutable state of the keeper.
type State struct {
	document chutedocument.Document
	version  chutetable.Version // of the head's row
	provedAt time.Time          // the latest moment at which the document is known to have been the head
	ready    bool
	readAt   time.Time
	reading  chuteevent.Token
	peers    *immutable.SortedMap[chutetable.HostID, int] // versions last told
	changes  *immutable.Map[chuteevent.Token, change]
	confirms []confirmation
	sequence int64
}

// New returns the state of a keeper that has read nothing.
func New() State {
	return State{
		document: chutedocument.New(),
		peers:    immutable.NewSortedMap[chutetable.HostID, int](nil),
		changes:  immutable.NewMap[chuteevent.Token, change](nil),
	}
}

// Document returns the document in force on this host.
func (s State) Document() chutedocument.Document {
	return s.document
}

// Ready reports whether the head has been read.
func (s State) Ready() bool {
	return s.ready
}

// Age returns the time since the document was proved to be the head.
func (s State) Age(now time.Time) time.Duration {
	return now.Sub(s.provedAt)
}

// Current reports whether the document is proved current within the freshness bound.
func (s State) Current(now time.Time) bool {
	return s.ready && s.Age(now) < Freshness
}

// PeerVersion returns the version that the entry host last told.
func (s State) PeerVersion(host chutetable.HostID) int {
	version, _ := s.peers.Get(host)
	return version
}

// Owns reports whether the token belongs to a store operation of the keeper.
func (s State) Owns(token chuteevent.Token) bool {
	_, ok := s.changes.Get(token)
	return ok || token != "" && token == s.reading
}

// WithReadDue returns the state with the next read of the head due at once.
func (s State) WithReadDue() State {
	s.readAt = time.Time{}
	return s
}

// WithPeer returns the state after a peer told its version; a newer one makes a read due.
func (s State) WithPeer(host chutetable.HostID, version int) State {
	s.peers = s.peers.Set(host, version)
	if version > s.document.Version {
		return s.WithReadDue()
	}
	return s
}

// WithProof returns the state after a peer proved the version to have been the head at the moment.
func (s State) WithCurrentAt(version int, at time.Time) State {
	if s.ready && version == s.document.Version && at.After(s.provedAt) {
		s.provedAt = at
	}
	return s
}

// turn is the handling of one event.
type turn struct {
	state       State
	environment Environment
	effects     []chuteevent.Effect
}

func (t *turn) emit(effect chuteevent.Effect) {
	t.effects = append(t.effects, effect)
}

func (t *turn) token() chuteevent.Token {
	t.state.sequence++
	return chuteevent.Token(fmt.Sprintf("document-%s-%d", t.environment.Boot, t.state.sequence))
}

func (t *turn) answer(to Origin, reply chutecall.Reply) {
	t.emit(chuteevent.AnswerCall{ID: to.ID, Reply: reply})
}

func (t *turn) refuse(to Origin, result chuteresult.Result) {
	t.emit(chuteevent.Count{Counter: "document-refused", Reason: result.Code.String()})
	t.answer(to, chutecall.ResultReply{Result: result})
}

// Tick lets time pass: the head is read again, and answers that waited for other hosts are given.
func (s State) Tick(environment Environment) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	if s.reading == "" && environment.Now.Sub(s.readAt) >= readInterval {
		t.read()
	}
	t.confirm()
	return t.state, t.effects
}

func (t *turn) read() {
	t.state.readAt = t.environment.Now
	t.state.reading = t.token()
	t.emit(chuteevent.ReadTable{Token: t.state.reading, Prefix: chutetable.DocumentHeadKey, Exact: true})
}

// Read handles the head's row.
func (s State) Read(environment Environment, e chuteevent.TableRead) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	if e.Token == s.reading {
		t.state.reading = ""
	}
	t.adoptRows(e.Rows)
	if !t.state.provedAt.After(e.SentAt) {
		t.state.provedAt = e.SentAt
	}
	t.state.ready = true
	if c, ok := s.changes.Get(e.Token); ok {
		t.state.changes = t.state.changes.Delete(e.Token)
		t.propose(c)
	}
	return t.state, t.effects
}

// adoptRows puts the head in force if it is newer; an accepted document never reverts.
func (t *turn) adoptRows(rows []chutetable.StoredRow) {
	for _, stored := range rows {
		row, ok := stored.Row.(chutetable.DocumentRow)
		if ok && stored.Key == chutetable.DocumentHeadKey && stored.Version > t.state.version {
			t.adopt(row.Document, stored.Version)
		}
	}
}

func (t *turn) adopt(document chutedocument.Document, version chutetable.Version) {
	if document.Version <= t.state.document.Version {
		return
	}
	t.state.document = document
	t.state.version = version
	t.emit(chuteevent.LogLine{Component: "document", Text: fmt.Sprintf("version %d is in force here", document.Version)})
	for _, peer := range t.environment.Peers {
		t.emit(chuteevent.SendPeerMessage{To: peer.Host, Message: chuteevent.DocumentChanged{DocumentVersion: document.Version}})
	}
}

// Failed handles a store operation that certainly did not take effect.
func (s State) Failed(environment Environment, token chuteevent.Token) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	if token == s.reading {
		t.state.reading = ""
	}
	if c, ok := s.changes.Get(token); ok {
		t.state.changes = s.changes.Delete(token)
		t.refuse(c.origin, chuteresult.New(chuteresult.StoreUnavailable, "document: cannot be recorded now"))
	}
	return t.state, t.effects
}
