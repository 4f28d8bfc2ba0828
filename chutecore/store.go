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

// handleTableEvent passes the end of a store operation to the part of the state that started it.
func (t *transition) handleTableEvent(e chuteevent.TableEvent) {
	token := e.Operation()
	switch {
	case t.state.host.Owns(token):
		t.applyHost(t.state.host.HandleTableEvent(t.hostEnvironment(), e))
	case t.state.revision.Owns(token):
		t.applyRevision(t.state.revision.HandleTableEvent(t.revisionEnvironment(), e))
	case t.state.router.Owns(token):
		t.applyRouter(t.state.router.HandleTableEvent(t.routeEnvironment(), e))
	default:
		if s, ok := t.shardByToken(token); ok {
			t.applyShard(s.HandleTableEvent(t.shardEnvironment(s.Shard()), e))
		}
	}
}
