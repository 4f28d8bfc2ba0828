package chuterevision

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

// Apply handles the call to change the document. It reads the head first, so that the change is applied to the newest
// document.
func (s State) Apply(environment Environment, origin chuteevent.Origin, call chutecall.ApplyDocument) (State, []chuteevent.Effect) {
	t := &transition{state: s, environment: environment}
	if !environment.StoreUp {
		t.refuse(origin, chuteresult.New(chuteresult.StoreUnavailable, "document: cannot be read now"))
		return t.state, t.effects
	}
	t.readForChange(pendingChange{origin: origin, call: call})
	return t.state, t.effects
}

// readForChange reads the head for the next attempt to apply the change.
func (t *transition) readForChange(c pendingChange) {
	c.attempts++
	token := t.newToken()
	t.state.changes = t.state.changes.Set(token, c)
	t.emit(chuteevent.ReadTable{Token: token, Prefix: chutetable.DocumentHeadKey, Exact: true})
}

// propose applies the change to the document in force and starts a commit of the result, on the condition that the head
// is still the same. A dry run is answered at once.
func (t *transition) propose(c pendingChange) {
	next, err := t.state.document.Apply(c.call.Change, t.environment.Topology, t.environment.Now)
	if err != nil {
		t.refuse(c.origin, chuteresult.FromError(err))
		return
	}
	if c.call.DryRun {
		t.answer(c.origin, chutecall.DocumentReply{
			Result:   chuteresult.New(chuteresult.Done, "dry run: nothing was changed"),
			Document: next, Warnings: t.warnings(next),
		})
		return
	}
	c.next = next
	token := t.newToken()
	t.state.changes = t.state.changes.Set(token, c)
	row := chutetable.DocumentRow{Document: next}
	t.emit(chuteevent.CommitTable{
		Token:      token,
		Conditions: []chutetable.Condition{{Key: chutetable.DocumentHeadKey, Version: t.state.version}},
		Writes: []chutetable.Write{
			{Key: chutetable.DocumentHeadKey, Row: row},
			{Key: chutetable.DocumentHistoryKey(next.Version), Row: row},
		},
	})
}

// warnings returns a line for each guaranteed shape that would not fit without one of the zones.
func (t *transition) warnings(document chutedocument.Document) []string {
	effects := document.ZoneOutEffect(t.environment.Topology)
	var warnings []string
	for _, zone := range t.environment.Topology.Zones() {
		for _, shape := range effects.UnpackedByZone[zone] {
			warnings = append(warnings, "with zone "+string(zone)+" out, "+shape+" is lost")
		}
	}
	return warnings
}

// handleCommitted handles the known outcome of the commit of a change. A change that lost against a concurrent one is
// attempted again, up to maxAttempts times in all.
func (t *transition) handleCommitted(c pendingChange, e chuteevent.TableCommitted) {
	switch {
	case e.Accepted:
		t.adopt(c.next, e.Versions[chutetable.DocumentHeadKey])
		t.state.confirmations = append(slices.Clone(t.state.confirmations), pendingConfirmation{
			origin: c.origin, version: c.next.Version, warnings: t.warnings(c.next), deadline: t.environment.Now.Add(confirmTimeout),
		})
		t.answerConfirmed()
	case c.attempts < maxAttempts:
		t.readForChange(c)
	default:
		t.refuse(c.origin, chuteresult.New(chuteresult.Conflict, "document: other changes won %d times", maxAttempts))
	}
}

// answerConfirmed answers the accepted changes whose version all live entry hosts have confirmed or whose deadline has
// passed.
func (t *transition) answerConfirmed() {
	var waiting []pendingConfirmation
	for _, c := range t.state.confirmations {
		behind := t.hostsBehind(c.version)
		if len(behind) > 0 && t.environment.Now.Before(c.deadline) {
			waiting = append(waiting, c)
			continue
		}
		t.answer(c.origin, chutecall.DocumentReply{
			Result:   acceptedResult(c.version, behind),
			Document: t.state.document, Behind: behind, Warnings: c.warnings,
		})
	}
	t.state.confirmations = waiting
}

// acceptedResult returns the result of an accepted change while the given hosts have not confirmed its version.
func acceptedResult(version int, behind []chutetable.HostID) chuteresult.Result {
	if len(behind) == 0 {
		return chuteresult.New(chuteresult.Done, "version %d is in force on every live entry host", version)
	}
	return chuteresult.New(chuteresult.Accepted, "version %d is durable; %d entry hosts have not confirmed it yet", version, len(behind))
}

// hostsBehind returns the live entry hosts that have not reported the version or a newer one.
func (t *transition) hostsBehind(version int) []chutetable.HostID {
	var behind []chutetable.HostID
	for _, peer := range t.environment.Peers {
		if t.state.PeerVersion(peer.Host) < version {
			behind = append(behind, peer.Host)
		}
	}
	return behind
}

// Show returns the reply to ShowDocument: the document in force.
func (s State) Show() chutecall.Reply {
	return chutecall.DocumentReply{Result: chuteresult.Result{Code: chuteresult.Done}, Document: s.document}
}

// Workspaces returns the reply to ListWorkspaces: the workspaces of the document in force.
func (s State) Workspaces() chutecall.Reply {
	var all []chutecall.WorkspaceStatus
	for _, w := range s.document.Workspaces {
		all = append(all, chutecall.WorkspaceStatus{Workspace: w})
	}
	return chutecall.WorkspacesReply{Workspaces: all}
}
