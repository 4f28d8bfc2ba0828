package chutestore

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutecaller"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutewire"
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

// writeDuty sends commits in the order of arrival. It merges queued commits with the same conditions into one transaction.
func (c *Client) writeDuty(ctx context.Context) {
	var waiting []chuteevent.CommitTable
	for {
		if len(waiting) == 0 {
			effect, ok := c.writes.Take(ctx)
			if !ok {
				return
			}
			waiting = appendCommit(waiting, effect)
		}
		waiting = c.takeWaiting(waiting)
		waiting = c.failExpired(ctx, waiting)
		if len(waiting) == 0 {
			continue
		}
		size := batchSize(waiting)
		if !c.commit(ctx, waiting[:size]) {
			return
		}
		waiting = slices.Clone(waiting[size:])
	}
}

func appendCommit(commits []chuteevent.CommitTable, effect chuteevent.Effect) []chuteevent.CommitTable {
	if commit, ok := effect.(chuteevent.CommitTable); ok {
		return append(commits, commit)
	}
	return commits
}

// takeWaiting appends the commits that are in the ring.
func (c *Client) takeWaiting(waiting []chuteevent.CommitTable) []chuteevent.CommitTable {
	for len(waiting) < ringSize {
		effect, ok := c.writes.TryTake()
		if !ok {
			return waiting
		}
		waiting = appendCommit(waiting, effect)
	}
	return waiting
}

// failExpired removes the commits whose SendBefore has passed, and reports each as failed.
func (c *Client) failExpired(ctx context.Context, waiting []chuteevent.CommitTable) []chuteevent.CommitTable {
	now := time.Now()
	return slices.DeleteFunc(waiting, func(commit chuteevent.CommitTable) bool {
		if commit.SendBefore.IsZero() || now.Before(commit.SendBefore) {
			return false
		}
		c.events.Put(ctx, chuteevent.TableFailed{Token: commit.Token})
		return true
	})
}

// batchSize returns the number of commits at the front of the queue that can form one transaction: they have the same
// conditions and write different rows.
func batchSize(waiting []chuteevent.CommitTable) int {
	written := make(map[chutetable.Key]bool)
	for i, commit := range waiting {
		if i == maxBatchSize || !slices.Equal(commit.Conditions, waiting[0].Conditions) || overwritesCondition(commit) && i > 0 {
			return i
		}
		for _, w := range commit.Writes {
			if written[w.Key] {
				return i
			}
		}
		for _, w := range commit.Writes {
			written[w.Key] = true
		}
		if overwritesCondition(commit) {
			return i + 1
		}
	}
	return len(waiting)
}

// overwritesCondition reports whether the commit writes a row that it has a condition on. No other commit with the same
// conditions can succeed after it.
func overwritesCondition(commit chuteevent.CommitTable) bool {
	for _, w := range commit.Writes {
		if slices.ContainsFunc(commit.Conditions, func(c chutetable.Condition) bool { return c.Key == w.Key }) {
			return true
		}
	}
	return false
}

// commit sends the commits as one transaction. It repeats the transaction with the same token until the outcome is known,
// and returns false if the context ended first.
func (c *Client) commit(ctx context.Context, commits []chuteevent.CommitTable) bool {
	transaction, err := newTransaction(commits)
	if err != nil {
		c.log.Error("store: row cannot be encoded", "error", err)
		c.failAll(ctx, commits)
		return true
	}
	outcome, err := backoff.Retry(ctx, func() (Outcome, error) {
		var outcome Outcome
		err := c.observe(ctx, func() error { return c.caller.Post("/v1/transactions", transaction, &outcome) })
		return outcome, err
	}, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return false
	}
	for _, commit := range commits {
		c.events.Put(ctx, chuteevent.TableCommitted{
			Token: commit.Token, Accepted: outcome.Accepted, Versions: versionsOf(commit, outcome),
		})
	}
	return true
}

func newBackOff() backoff.BackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = minRetryDelay
	policy.MaxInterval = maxRetryDelay
	return policy
}

func newTransaction(commits []chuteevent.CommitTable) (Transaction, error) {
	transaction := Transaction{Token: string(commits[0].Token), Conditions: commits[0].Conditions}
	for _, commit := range commits {
		for _, w := range commit.Writes {
			encoded := RowWrite{Key: w.Key}
			if w.Row != nil {
				value, err := chutewire.EncodeRow(w.Row)
				if err != nil {
					return Transaction{}, err
				}
				encoded.Value = value
			}
			transaction.Writes = append(transaction.Writes, encoded)
		}
	}
	return transaction, nil
}

func versionsOf(commit chuteevent.CommitTable, outcome Outcome) map[chutetable.Key]chutetable.Version {
	versions := make(map[chutetable.Key]chutetable.Version, len(commit.Writes))
	for _, w := range commit.Writes {
		versions[w.Key] = outcome.Versions[w.Key]
	}
	return versions
}

func (c *Client) failAll(ctx context.Context, commits []chuteevent.CommitTable) {
	for _, commit := range commits {
		c.events.Put(ctx, chuteevent.TableFailed{Token: commit.Token})
	}
}

// observe makes the call, and sends the core an event if the call changes the state of the table service.
func (c *Client) observe(ctx context.Context, call func() error) error {
	sent := time.Now()
	err := call()
	if state, changed := c.breaker.record(err == nil, time.Since(sent)); changed {
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

func (c *Client) readDuty(ctx context.Context) {
	for {
		effect, ok := c.reads.Take(ctx)
		if !ok {
			return
		}
		if read, isRead := effect.(chuteevent.ReadTable); isRead {
			c.events.Put(ctx, c.read(ctx, read))
		}
	}
}

func (c *Client) read(ctx context.Context, effect chuteevent.ReadTable) chuteevent.Event {
	sent := time.Now()
	var stored []StoredRow
	err := c.observe(ctx, func() error { return c.caller.Get(rowsPath(effect.Prefix, effect.Exact), &stored) })
	if err != nil {
		return chuteevent.TableFailed{Token: effect.Token}
	}
	read := chuteevent.TableRead{Token: effect.Token, SentAt: sent}
	for _, s := range stored {
		row, err := chutewire.DecodeRow(s.Value)
		if err != nil {
			c.log.Error("store: row cannot be decoded", "key", s.Key, "error", errorText(err))
			continue
		}
		read.Rows = append(read.Rows, chutetable.StoredRow{Key: s.Key, Version: s.Version, Row: row})
	}
	return read
}

// membershipDuty reads the membership list every membershipInterval.
func (c *Client) membershipDuty(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		var hosts []ListedHost
		if err := c.caller.Get("/v1/hosts", &hosts); err == nil {
			c.events.Put(ctx, chuteevent.MembershipListed{Hosts: newPlatformHosts(hosts)})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func newPlatformHosts(listed []ListedHost) []chuteevent.PlatformHost {
	hosts := make([]chuteevent.PlatformHost, len(listed))
	for i, h := range listed {
		hosts[i] = chuteevent.PlatformHost{
			ID: h.ID, Role: chuteevent.Role(h.Role), Service: h.Service, Zone: h.Zone, Rack: h.Rack,
			Accelerators: h.Accelerators, Address: h.Address, Leaving: h.Leaving,
		}
	}
	return hosts
}
