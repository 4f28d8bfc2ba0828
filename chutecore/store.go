package chutecore

import (
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteshard"
)

// shardOf returns the owned shard that the token belongs to.
func (t *turn) shardOf(token chuteevent.Token) (chuteshard.State, bool) {
	for i := t.state.shards.Iterator(); !i.Done(); {
		_, s, _ := i.Next()
		if s.Owns(token) {
			return s, true
		}
	}
	return chuteshard.State{}, false
}

// committed hands the certain end of a commit to the part that asked for it.
func (t *turn) committed(e chuteevent.TableCommitted) {
	switch {
	case t.state.host.Owns(e.Token):
		t.enterHost(t.state.host.Committed(t.hostEnvironment(), e))
	case t.state.keeper.Owns(e.Token):
		t.enterKeeper(t.state.keeper.Committed(t.keeperEnvironment(), e))
	case t.state.router.Owns(e.Token):
		t.enterRouter(t.state.router.HandleTableCommitted(t.routeEnvironment(), e))
	default:
		if s, ok := t.shardOf(e.Token); ok {
			t.enterShard(s.Committed(t.shardEnvironment(s.Shard()), e))
		}
	}
}

// read hands the rows of a read to the part that asked for them.
func (t *turn) read(e chuteevent.TableRead) {
	switch {
	case t.state.host.Owns(e.Token):
		t.enterHost(t.state.host.Read(t.hostEnvironment(), e))
	case t.state.keeper.Owns(e.Token):
		t.enterKeeper(t.state.keeper.Read(t.keeperEnvironment(), e))
	case t.state.router.Owns(e.Token):
		t.enterRouter(t.state.router.HandleTableRead(t.routeEnvironment(), e))
	default:
		if s, ok := t.shardOf(e.Token); ok {
			t.enterShard(s.Read(t.shardEnvironment(s.Shard()), e))
		}
	}
}

// failed tells the part that asked for a store operation that it certainly did not take effect.
func (t *turn) failed(token chuteevent.Token) {
	switch {
	case t.state.host.Owns(token):
		t.state.host = t.state.host.Failed(token)
	case t.state.keeper.Owns(token):
		t.enterKeeper(t.state.keeper.Failed(t.keeperEnvironment(), token))
	case t.state.router.Owns(token):
		t.enterRouter(t.state.router.HandleTableFailed(t.routeEnvironment(), token))
	default:
		if s, ok := t.shardOf(token); ok {
			t.enterShard(s.Failed(t.shardEnvironment(s.Shard()), token))
		}
	}
}
