package chuterevision

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

// Apply handles a proposal: the head is read first, so that the change is judged by what is in force.
func (s State) Apply(environment Environment, origin Origin, call chutecall.ApplyDocument) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	if !environment.StoreUp {
		t.refuse(origin, chuteresult.New(chuteresult.StoreUnavailable, "document: cannot be read now"))
		return t.state, t.effects
	}
	t.readFor(change{origin: origin, call: call})
	return t.state, t.effects
}

// readFor reads the head for the change's next try.
func (t *turn) readFor(c change) {
	c.tries++
	token := t.token()
	t.state.changes = t.state.changes.Set(token, c)
	t.emit(chuteevent.ReadTable{Token: token, Prefix: chutetable.DocumentHeadKey, Exact: true})
}

// propose applies the change to the document in force and writes the result if the head is still the same.
func (t *turn) propose(c change) {
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
	token := t.token()
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

// warnings lists the guaranteed shapes that would be lost with one zone out.
func (t *turn) warnings(document chutedocument.Document) []string {
	effects := document.ZoneOutEffect(t.environment.Topology)
	var warnings []string
	for _, zone := range t.environment.Topology.Zones() {
		for _, shape := range effects.UnpackedByZone[zone] {
			warnings = append(warnings, "with zone "+string(zone)+" out, "+shape+" is lost")
		}
	}
	return warnings
}

// Committed handles the certain end of a change's commit.
func (s State) Committed(environment Environment, e chuteevent.TableCommitted) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	c, ok := s.changes.Get(e.Token)
	if !ok {
		return t.state, t.effects
	}
	t.state.changes = s.changes.Delete(e.Token)
	switch {
	case e.Accepted:
		t.adopt(c.next, e.Versions[chutetable.DocumentHeadKey])
		t.state.confirms = append(slices.Clone(t.state.confirms), confirmation{
			origin: c.origin, version: c.next.Version, warnings: t.warnings(c.next), deadline: environment.Now.Add(confirmLimit),
		})
		t.confirm()
	case c.tries < maxTries:
		t.readFor(c)
	default:
		t.refuse(c.origin, chuteresult.New(chuteresult.Conflict, "document: other changes won %d times", maxTries))
	}
	return t.state, t.effects
}

// confirm answers accepted changes that are in force everywhere, or that have waited long enough.
func (t *turn) confirm() {
	var waiting []confirmation
	for _, c := range t.state.confirms {
		behind := t.behind(c.version)
		if len(behind) > 0 && t.environment.Now.Before(c.deadline) {
			waiting = append(waiting, c)
			continue
		}
		t.answer(c.origin, chutecall.DocumentReply{
			Result:   acceptedResult(c.version, behind),
			Document: t.state.document, Behind: behind, Warnings: c.warnings,
		})
	}
	t.state.confirms = waiting
}

func acceptedResult(version int, behind []chutetable.HostID) chuteresult.Result {
	if len(behind) == 0 {
		return chuteresult.New(chuteresult.Done, "version %d is in force on every live entry host", version)
	}
	return chuteresult.New(chuteresult.Accepted, "version %d is durable; %d entry hosts have not confirmed it yet", version, len(behind))
}

func (t *turn) behind(version int) []chutetable.HostID {
	var behind []chutetable.HostID
	for _, peer := range t.environment.Peers {
		if t.state.PeerVersion(peer.Host) < version {
			behind = append(behind, peer.Host)
		}
	}
	return behind
}

// Show answers with the document in force.
func (s State) Show() chutecall.Reply {
	return chutecall.DocumentReply{Result: chuteresult.Result{Code: chuteresult.Done}, Document: s.document}
}

// Workspaces answers with the workspaces of the document.
func (s State) Workspaces() chutecall.Reply {
	var all []chutecall.WorkspaceStatus
	for _, w := range s.document.Workspaces {
		all = append(all, chutecall.WorkspaceStatus{Workspace: w})
	}
	return chutecall.WorkspacesReply{Workspaces: all}
}
