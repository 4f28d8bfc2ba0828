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

// offer adds the item and reports whether there was space; it never blocks.
func (r *ring) offer(item any) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// put adds the item, blocking until there is space, and reports false if the context ended first.
func (r *ring) put(ctx context.Context, item any) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		r.refused.Add(1)
		return false
	}
}

// take removes the oldest item, blocking until there is one, and reports false if the context ended first.
func (r *ring) take(ctx context.Context) (any, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		return nil, false
	}
}

// tryTake removes the oldest item and reports false if there is none; it never blocks.
func (r *ring) tryTake() (any, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		return nil, false
	}
}

// RingStats describes the use of a ring at one moment.
type RingStats struct {
	Name    string
	Depth   int   // items in the ring
	Size    int   // maximum number of items
	Refused int64 // items refused since the ring was made
}

func (r *ring) stats() RingStats {
	return RingStats{Name: r.name, Depth: len(r.items), Size: cap(r.items), Refused: r.refused.Load()}
}

// Events is a ring of events for the core in chutecore.
type Events struct{ ring *ring }

// NewEvents returns an empty ring that holds up to size events.
func NewEvents(name string, size int) Events {
	return Events{ring: newRing(name, size)}
}

// Offer adds the event and reports whether there was space; it never blocks.
func (e Events) Offer(event chuteevent.Event) bool {
	return e.ring.offer(event)
}

// Put adds the event, blocking until there is space, and reports false if the context ended first.
func (e Events) Put(ctx context.Context, event chuteevent.Event) bool {
	return e.ring.put(ctx, event)
}

// Take removes the oldest event, blocking until there is one, and reports false if the context ended first.
func (e Events) Take(ctx context.Context) (chuteevent.Event, bool) {
	item, ok := e.ring.take(ctx)
	if !ok {
		return nil, false
	}
	event, ok := item.(chuteevent.Event)
	return event, ok
}

// Stats returns the ring's depth, size and number of refused items.
func (e Events) Stats() RingStats {
	return e.ring.stats()
}

// Effects is a ring of effects from the core in chutecore to one duty.
type Effects struct{ ring *ring }

// NewEffects returns an empty ring that holds up to size effects.
func NewEffects(name string, size int) Effects {
	return Effects{ring: newRing(name, size)}
}

// Offer adds the effect and reports whether there was space; it never blocks.
func (e Effects) Offer(effect chuteevent.Effect) bool {
	return e.ring.offer(effect)
}

// Take removes the oldest effect, blocking until there is one, and reports false if the context ended first.
func (e Effects) Take(ctx context.Context) (chuteevent.Effect, bool) {
	item, ok := e.ring.take(ctx)
	if !ok {
		return nil, false
	}
	effect, ok := item.(chuteevent.Effect)
	return effect, ok
}

// TryTake removes the oldest effect and reports false if there is none; it never blocks.
func (e Effects) TryTake() (chuteevent.Effect, bool) {
	item, ok := e.ring.tryTake()
	if !ok {
		return nil, false
	}
	effect, ok := item.(chuteevent.Effect)
	return effect, ok
}

// Stats returns the ring's depth, size and number of refused items.
func (e Effects) Stats() RingStats {
	return e.ring.stats()
}

// EntryEvents is a ring of events for the core in chuteentry.
type EntryEvents struct{ ring *ring }

// NewEntryEvents returns an empty ring that holds up to size events.
func NewEntryEvents(name string, size int) EntryEvents {
	return EntryEvents{ring: newRing(name, size)}
}

// Offer adds the event and reports whether there was space; it never blocks.
func (e EntryEvents) Offer(event chuteaction.Event) bool {
	return e.ring.offer(event)
}

// Put adds the event, blocking until there is space, and reports false if the context ended first.
func (e EntryEvents) Put(ctx context.Context, event chuteaction.Event) bool {
	return e.ring.put(ctx, event)
}

// Take removes the oldest event, blocking until there is one, and reports false if the context ended first.
func (e EntryEvents) Take(ctx context.Context) (chuteaction.Event, bool) {
	item, ok := e.ring.take(ctx)
	if !ok {
		return nil, false
	}
	event, ok := item.(chuteaction.Event)
	return event, ok
}

// Stats returns the ring's depth, size and number of refused items.
func (e EntryEvents) Stats() RingStats {
	return e.ring.stats()
}

// EntryEffects is a ring of effects from the core in chuteentry to one or several duties.
type EntryEffects struct{ ring *ring }

// NewEntryEffects returns an empty ring that holds up to size effects.
func NewEntryEffects(name string, size int) EntryEffects {
	return EntryEffects{ring: newRing(name, size)}
}

// Offer adds the effect and reports whether there was space; it never blocks.
func (e EntryEffects) Offer(effect chuteaction.Effect) bool {
	return e.ring.offer(effect)
}

// Take removes the oldest effect, blocking until there is one, and reports false if the context ended first.
func (e EntryEffects) Take(ctx context.Context) (chuteaction.Effect, bool) {
	item, ok := e.ring.take(ctx)
	if !ok {
		return nil, false
	}
	effect, ok := item.(chuteaction.Effect)
	return effect, ok
}

// TryTake removes the oldest effect and reports false if there is none; it never blocks.
func (e EntryEffects) TryTake() (chuteaction.Effect, bool) {
	item, ok := e.ring.tryTake()
	if !ok {
		return nil, false
	}
	effect, ok := item.(chuteaction.Effect)
	return effect, ok
}

// Stats returns the ring's depth, size and number of refused items.
func (e EntryEffects) Stats() RingStats {
	return e.ring.stats()
}
