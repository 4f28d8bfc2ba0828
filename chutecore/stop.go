package chutecore

import "monsoonchute.example/monsoonchute/chuteevent"

// beginStop begins a planned stop: the host refuses new calls and requests, lets those in progress end and releases its
// shards.
func (t *transition) beginStop() {
	if t.state.stopping {
		return
	}
	t.state.stopping = true
	t.state.host = t.state.host.WithLeaving()
	t.state.router = t.state.router.WithStopping()
	t.emit(chuteevent.LogLine{Component: "host", Text: "planned stop begins"})
}

// advanceHandOver releases the shard that is being handed over once none of its writes is in flight.
func (t *transition) advanceHandOver() {
	number := t.state.handOverShard
	if number < 0 {
		return
	}
	if t.releaseShard(number) {
		t.state.handOverShard = -1
	}
}

// releaseShard releases the shard unless one of its writes is in flight. It reports whether this host no longer holds
// the shard.
func (t *transition) releaseShard(number int) bool {
	s, ok := t.state.shards.Get(number)
	if !ok {
		return true
	}
	if !s.Idle() {
		return false
	}
	t.state.shards = t.state.shards.Delete(number)
	host, effects := t.state.host.Release(t.hostEnvironment(), number)
	t.state.host = host
	t.emit(effects...)
	return true
}

// advanceStop releases shards during a planned stop and emits Stopped once nothing is in progress.
func (t *transition) advanceStop() {
	if !t.state.stopping || t.state.stopped {
		return
	}
	for _, number := range t.state.Shards() {
		t.releaseShard(number)
	}
	if t.state.shards.Len() > 0 || t.state.host.Releasing() || !t.state.router.Idle() || t.state.forwards.Len() > 0 ||
		len(t.state.deferred) > 0 {
		return
	}
	t.state.stopped = true
	t.emit(chuteevent.Stopped{})
}
