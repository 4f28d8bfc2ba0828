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
	// FreshnessLimit is the age from which a document is too old to start work.
	FreshnessLimit = 2 * time.Second
	// readInterval is the time between the starts of two periodic reads of the head.
	readInterval = time.Second
	// maxAttempts is the number of attempts to commit a change that conflicts with concurrent ones.
	maxAttempts = 8
	// confirmTimeout is the longest time that the answer to a change waits for the other entry hosts.
	confirmTimeout = 2500 * time.Millisecond
)

// Environment holds the inputs of an event that are not part of the state.
type Environment struct {
	Now      time.Time
	BootID   string // differs for each start of the process; part of every token
	Topology chutetopology.Topology
	StoreUp  bool                 // whether the store can be used
	Peers    []chutetable.HostRow // live entry hosts other than this one
}

// pendingChange is a proposed change with a store operation in flight: a read of the head or a commit.
type pendingChange struct {
	origin   chuteevent.Origin
	call     chutecall.ApplyDocument
	attempts int
	next     chutedocument.Document // document being committed, of version 0 while the head is read
}

// pendingConfirmation is an accepted change whose answer waits until the other entry hosts have confirmed its version.
type pendingConfirmation struct {
	origin   chuteevent.Origin
	version  int
	warnings []string
	deadline time.Time
}

// State is the immutable state of the document in force on this host.
type State struct {
	document      chutedocument.Document
	version       chutetable.Version                           // store version of the head's row
	currentAt     time.Time                                    // latest time at which the document was known to be the head
	ready         bool                                         // whether the head has been read
	lastReadAt    time.Time                                    // start of the latest periodic read of the head
	readToken     chuteevent.Token                             // token of the periodic read in flight, empty if there is none
	peers         *immutable.SortedMap[chutetable.HostID, int] // document versions that the peers last reported
	changes       *immutable.Map[chuteevent.Token, pendingChange]
	confirmations []pendingConfirmation
	sequence      int64 // number of the latest token
}

// New returns the state before the first read of the head.
func New() State {
	return State{
		document: chutedocument.New(),
		peers:    immutable.NewSortedMap[chutetable.HostID, int](nil),
		changes:  immutable.NewMap[chuteevent.Token, pendingChange](nil),
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

// ConfirmedAt returns the latest time at which the document was known to be the head.
func (s State) ConfirmedAt() time.Time {
	return s.currentAt
}

// Age returns the time since the document was last known to be the head.
func (s State) Age(now time.Time) time.Duration {
	return now.Sub(s.currentAt)
}

// Current reports whether the document was known to be the head less than FreshnessLimit ago.
func (s State) Current(now time.Time) bool {
	return s.ready && s.Age(now) < FreshnessLimit
}

// PeerVersion returns the document version that the entry host last reported, and 0 if it has reported none.
func (s State) PeerVersion(host chutetable.HostID) int {
	version, _ := s.peers.Get(host)
	return version
}

// Owns reports whether this state started the store operation and the operation is in flight.
func (s State) Owns(token chuteevent.Token) bool {
	_, ok := s.changes.Get(token)
	return ok || token != "" && token == s.readToken
}

// WithReadDue returns the state with a read of the head due at the next Tick.
func (s State) WithReadDue() State {
	s.lastReadAt = time.Time{}
	return s
}

// WithPeer returns the state after a peer reported its document version. If that is newer than the version here, a read
// of the head becomes due.
func (s State) WithPeer(host chutetable.HostID, version int) State {
	s.peers = s.peers.Set(host, version)
	if version > s.document.Version {
		return s.WithReadDue()
	}
	return s
}

// WithCurrentAt returns the state after a peer reported that the version was the head at the given time. It changes nothing
// if that is not the version in force here.
func (s State) WithCurrentAt(version int, at time.Time) State {
	if s.ready && version == s.document.Version && at.After(s.currentAt) {
		s.currentAt = at
	}
	return s
}

// transition computes the new state and the effects of one event.
type transition struct {
	state       State
	environment Environment
	effects     []chuteevent.Effect
}

func (t *transition) emit(effect chuteevent.Effect) {
	t.effects = append(t.effects, effect)
}

// newToken returns a token for a store operation, unique among all hosts and restarts.
func (t *transition) newToken() chuteevent.Token {
	t.state.sequence++
	return chuteevent.Token(fmt.Sprintf("document-%s-%d", t.environment.BootID, t.state.sequence))
}

func (t *transition) answer(to chuteevent.Origin, reply chutecall.Reply) {
	t.emit(to.Answer(reply))
}

// refuse counts the refusal of a change and answers its call with the result.
func (t *transition) refuse(to chuteevent.Origin, result chuteresult.Result) {
	t.emit(chuteevent.Count{Counter: "document-refused", Reason: result.Code.String()})
	t.answer(to, chutecall.ResultReply{Result: result})
}

// Tick does the work that is due by time: it reads the head and answers the accepted changes whose wait is over.
func (s State) Tick(environment Environment) (State, []chuteevent.Effect) {
	t := &transition{state: s, environment: environment}
	if s.readToken == "" && environment.Now.Sub(s.lastReadAt) >= readInterval {
		t.readHead()
	}
	t.answerConfirmed()
	return t.state, t.effects
}

// readHead starts a periodic read of the head.
func (t *transition) readHead() {
	t.state.lastReadAt = t.environment.Now
	t.state.readToken = t.newToken()
	t.emit(chuteevent.ReadTable{Token: t.state.readToken, Prefix: chutetable.DocumentHeadKey, Exact: true})
}

// HandleTableEvent handles the end of a store operation that this state started.
func (s State) HandleTableEvent(environment Environment, event chuteevent.TableEvent) (State, []chuteevent.Effect) {
	t := &transition{state: s, environment: environment}
	token := event.Operation()
	if token == s.readToken {
		t.state.readToken = ""
	}
	if read, ok := event.(chuteevent.TableRead); ok {
		t.handleHeadRead(read)
	}
	c, waiting := s.changes.Get(token)
	if !waiting {
		return t.state, t.effects
	}
	t.state.changes = t.state.changes.Delete(token)
	switch e := event.(type) {
	case chuteevent.TableRead:
		t.propose(c)
	case chuteevent.TableCommitted:
		t.handleCommitted(c, e)
	case chuteevent.TableFailed:
		t.refuse(c.origin, chuteresult.New(chuteresult.StoreUnavailable, "document: cannot be recorded now"))
	}
	return t.state, t.effects
}

// handleHeadRead handles the result of a read of the head.
func (t *transition) handleHeadRead(e chuteevent.TableRead) {
	t.adoptHead(e.Rows)
	if !t.state.currentAt.After(e.SentAt) {
		t.state.currentAt = e.SentAt
	}
	t.state.ready = true
}

// adoptHead puts the head, if it is among the rows and newer, in force. The document in force never goes back to an older
// version.
func (t *transition) adoptHead(rows []chutetable.StoredRow) {
	for _, stored := range rows {
		row, ok := stored.Row.(chutetable.DocumentRow)
		if ok && stored.Key == chutetable.DocumentHeadKey && stored.Version > t.state.version {
			t.adopt(row.Document, stored.Version)
		}
	}
}

// adopt puts the document, whose row has the store version, in force and announces it to the peers, if it is newer than
// the document in force.
func (t *transition) adopt(document chutedocument.Document, version chutetable.Version) {
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
