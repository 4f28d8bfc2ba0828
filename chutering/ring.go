package chutering

import (
	"context"
	"sync/atomic"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteevent"
)

// ring is a bounded first-in first-out queue between duties.
type ring struct {
	name    string
	items   chan any
	refused atomic.Int64
}

func newRing(name string, size int) *ring {
	return &ring{name: name, items: make(chan any, size)}
}

func (r *ring) offer(item any) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

func (r *ring) put(ctx context.Context, item any) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		r.refused.Add(1)
		return false
	}
}

func (r *ring) take(ctx context.Context) (any, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		return nil, false
	}
}

// Gauge tells how full a ring is.
type RingStats struct {
	Name    string
	Depth   int
	Size    int
	Refused int64 // items since the start
}

func (r *ring) stats() RingStats {
	return RingStats{Name: r.name, Depth: len(r.items), Size: cap(r.items), Refused: r.refused.Load()}
}

// Events carries events towards the core.
type Events struct{ ring *ring }

// NewEvents returns an empty ring for the number of events.
func NewEvents(name string, size int) Events {
	return Events{ring: newRing(name, size)}
}

// Offer adds the event and reports whether there was room; it never waits.
func (e Events) Offer(event chuteevent.Event) bool {
	return e.ring.offer(event)
}

// Put adds the event, waits for room, and reports false if the context ended first.
func (e Events) Put(ctx context.Context, event chuteevent.Event) bool {
	return e.ring.put(ctx, event)
}

// Take removes the oldest event, waits for one, and reports false if the context ended first.
func (e Events) Take(ctx context.Context) (chuteevent.Event, bool) {
	item, ok := e.ring.take(ctx)
	if !ok {
		return nil, false
	}
	event, ok := item.(chuteevent.Event)
	return event, ok
}

// Gauge tells how full the ring is.
func (e Events) Stats() RingStats {
	return e.ring.stats()
}

// Effects carries effects from the core to one duty.
type Effects struct{ ring *ring }

// NewEffects returns an empty ring for the number of effects.
func NewEffects(name string, size int) Effects {
	return Effects{ring: newRing(name, size)}
}

// Offer adds the effect and reports whether there was room; it never waits.
func (e Effects) Offer(effect chuteevent.Effect) bool {
	return e.ring.offer(effect)
}

// Take removes the oldest effect, waits for one, and reports false if the context ended first.
func (e Effects) Take(ctx context.Context) (chuteevent.Effect, bool) {
	item, ok := e.ring.take(ctx)
	if !ok {
		return nil, false
	}
	effect, ok := item.(chuteevent.Effect)
	return effect, ok
}

// TakeNow removes the oldest effect and reports false if there is none; it never waits.
func (e Effects) TryTake() (chuteevent.Effect, bool) {
	select {
	case item := <-e.ring.items:
		effect, ok := item.(chuteevent.Effect)
		return effect, ok
	default:
		return nil, false
	}
}

// Gauge tells how full the ring is.
func (e Effects) Stats() RingStats {
	return e.ring.stats()
}

// EntryEvents carries events towards the core of an entry host.
type EntryEvents struct{ ring *ring }

// NewEntryEvents returns an empty ring for the number of events.
func NewEntryEvents(name string, size int) EntryEvents {
	return EntryEvents{ring: newRing(name, size)}
}

// Offer adds the event and reports whether there was room; it never waits.
func (e EntryEvents) Offer(event chuteaction.Event) bool {
	return e.ring.offer(event)
}

// Put adds the event, waits for room, and reports false if the context ended first.
func (e EntryEvents) Put(ctx context.Context, event chuteaction.Event) bool {
	return e.ring.put(ctx, event)
}

// Take removes the oldest event, waits for one, and reports false if the context ended first.
func (e EntryEvents) Take(ctx context.Context) (chuteaction.Event, bool) {
	item, ok := e.ring.take(ctx)
	if !ok {
		return nil, false
	}
	event, ok := item.(chuteaction.Event)
	return event, ok
}

// Gauge tells how full the ring is.
func (e EntryEvents) Stats() RingStats {
	return e.ring.stats()
}

// EntryEffects carries effects from the core of an entry host to one or several duties.
type EntryEffects struct{ ring *ring }

// NewEntryEffects returns an empty ring for the number of effects.
func NewEntryEffects(name string, size int) EntryEffects {
	return EntryEffects{ring: newRing(name, size)}
}

// Offer adds the effect and reports whether there was room; it never waits.
func (e EntryEffects) Offer(effect chuteaction.Effect) bool {
	return e.ring.offer(effect)
}

// Take removes the oldest effect, waits for one, and reports false if the context ended first.
func (e EntryEffects) Take(ctx context.Context) (chuteaction.Effect, bool) {
	item, ok := e.ring.take(ctx)
	if !ok {
		return nil, false
	}
	effect, ok := item.(chuteaction.Effect)
	return effect, ok
}

// Gauge tells how full the ring is.
func (e EntryEffects) Stats() RingStats {
	return e.ring.stats()
}
