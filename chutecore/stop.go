package chutecore

import "monsoonchute.example/monsoonchute/chuteevent"

// stop begins a planned stop: nothing new is taken, what is in progress ends, and the shards are handed over.
func (t *turn) stop() {
	if t.state.stopping {
		return
	}
	t.state.stopping = true
	t.state.host = t.state.host.WithLeaving()
	t.state.router = t.state.router.WithStopping()
	t.emit(chuteevent.LogLine{Component: "host", Text: "planned stop begins"})
}

// handOver releases the shard that another host is preferred for, once no write of it is in flight.
func (t *turn) handOver() {
	number := t.state.handOver
	if number < 0 {
		return
	}
	if t.releaseShard(number) {
		t.state.handOver = -1
	}
}

// releaseShard gives up a shard whose writes have all ended, and reports whether nothing is left to give up.
func (t *turn) releaseShard(number int) bool {
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

// advanceStop goes on with a planned stop and tells when it is complete.
func (t *turn) advanceStop() {
	if !t.state.stopping || t.state.stopped {
		return
	}
	for _, number := range t.state.Shards() {
		t.releaseShard(number)
	}
	if t.state.shards.Len() > 0 || t.state.host.Releasing() || !t.state.router.Idle() || t.state.forwards.Len() > 0 {
		return
	}
	t.state.stopped = true
	t.emit(chuteevent.Stopped{})
}
