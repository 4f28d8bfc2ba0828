package chutecore

import (
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteshard"
)

// shardByToken returns the shard that started the store operation, and false if no shard of this host did.
func (t *transition) shardByToken(token chuteevent.Token) (chuteshard.State, bool) {
	for i := t.state.shards.Iterator(); !i.Done(); {
		_, s, _ := i.Next()
		if s.Owns(token) {
			return s, true
		}
	}
	return chuteshard.State{}, false
}

// handleCommit passes the known outcome of a commit to the part of the state that asked for it.
func (t *transition) handleCommit(e chuteevent.TableCommitted) {
	switch {
	case t.state.host.Owns(e.Token):
		t.applyHost(t.state.host.HandleTableCommitted(t.hostEnvironment(), e))
	case t.state.revision.Owns(e.Token):
		t.applyRevision(t.state.revision.HandleTableCommitted(t.revisionEnvironment(), e))
	case t.state.router.Owns(e.Token):
		t.applyRouter(t.state.router.HandleTableCommitted(t.routeEnvironment(), e))
	default:
		if s, ok := t.shardByToken(e.Token); ok {
			t.applyShard(s.HandleTableCommitted(t.shardEnvironment(s.Shard()), e))
		}
	}
}

// handleRead passes the rows of a read to the part of the state that asked for them.
func (t *transition) handleRead(e chuteevent.TableRead) {
	switch {
	case t.state.host.Owns(e.Token):
		t.applyHost(t.state.host.HandleTableRead(t.hostEnvironment(), e))
	case t.state.revision.Owns(e.Token):
		t.applyRevision(t.state.revision.HandleTableRead(t.revisionEnvironment(), e))
	case t.state.router.Owns(e.Token):
		t.applyRouter(t.state.router.HandleTableRead(t.routeEnvironment(), e))
	default:
		if s, ok := t.shardByToken(e.Token); ok {
			t.applyShard(s.HandleTableRead(t.shardEnvironment(s.Shard()), e))
		}
	}
}

// handleStoreFailure tells the part of the state that asked for a store operation that the operation had no effect.
func (t *transition) handleStoreFailure(token chuteevent.Token) {
	switch {
	case t.state.host.Owns(token):
		t.state.host = t.state.host.HandleTableFailed(token)
	case t.state.revision.Owns(token):
		t.applyRevision(t.state.revision.HandleTableFailed(t.revisionEnvironment(), token))
	case t.state.router.Owns(token):
		t.applyRouter(t.state.router.HandleTableFailed(t.routeEnvironment(), token))
	default:
		if s, ok := t.shardByToken(token); ok {
			t.applyShard(s.HandleTableFailed(t.shardEnvironment(s.Shard()), token))
		}
	}
}
