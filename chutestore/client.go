package chutestore

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutecaller"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutering"
)

const (
	// ringSize is the capacity of each ring of store operations.
	ringSize = 4096
	// maxBatchSize is the largest number of commits in one transaction.
	maxBatchSize = 64
	// readerCount is the number of duties that read rows.
	readerCount = 4
	// membershipInterval is the time between two reads of the membership list.
	membershipInterval = time.Second
	// minRetryDelay and maxRetryDelay limit the exponential delay between two attempts of a transaction.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// rejectionDelay is the delay before the core learns that a commit was rejected.
	rejectionDelay = 100 * time.Millisecond
)

// Client executes store effects at the table service and delivers their results as events.
type Client struct {
	caller  chutecaller.Caller
	events  chutering.Events
	writes  chutering.Effects
	reads   chutering.Effects
	breaker *breaker
	log     *slog.Logger
	group   *chuteduty.Group
}

// New starts the client's duties, and returns a clean-up function that stops them.
func New(address string, events chutering.Events, log *slog.Logger) (*Client, func()) {
	group, cleanUp := chuteduty.New(log)
	c := &Client{
		caller: newCaller(address), events: events, log: log, group: group,
		writes:  chutering.NewEffects("store-writes", ringSize),
		reads:   chutering.NewEffects("store-reads", ringSize),
		breaker: newBreaker(),
	}
	group.Go("store-writer", c.writeDuty)
	for range readerCount {
		group.Go("store-reader", c.readDuty)
	}
	group.Go("membership-reader", c.membershipDuty)
	return c, cleanUp
}

// Offer queues the effect and reports whether its ring had room. It never blocks.
func (c *Client) Offer(effect chuteevent.StoreEffect) bool {
	switch e := effect.(type) {
	case chuteevent.CommitTable:
		return c.writes.Offer(e)
	case chuteevent.ReadTable:
		return c.reads.Offer(e)
	}
	return false
}

// RingStats returns the fill levels of the client's rings.
func (c *Client) RingStats() []chutering.RingStats {
	return []chutering.RingStats{c.writes.Stats(), c.reads.Stats()}
}

// observe makes the call, and sends the core an event if the call changes the state of the table service.
func (c *Client) observe(ctx context.Context, call func() error) error {
	sent := time.Now()
	err := call()
	if state, changed := c.breaker.record(err == nil || rejected(err), time.Since(sent)); changed {
		c.log.Warn("store: state of the table service changed", "state", state, "error", errorText(err))
		c.events.Put(ctx, chuteevent.StoreStateChanged{State: state})
	}
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return errors.Cause(err).Error()
}
