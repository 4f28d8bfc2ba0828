package chutestore

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutecaller"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutewire"
)

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
		if rejected(err) {
			err = backoff.Permanent(err)
		}
		return outcome, err
	}, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	if rejected(err) {
		return c.handleRejection(ctx, commits, err)
	}
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

// rejected reports whether the table service will never carry out the transaction that ended with the error.
func rejected(err error) bool {
	var status chutecaller.StatusError
	return errors.As(err, &status) && status.Rejected()
}

// handleRejection handles a transaction that the table service will never carry out. Its commits are sent one by one, so that one of
// them holds up no other. It reports false if the context ended first.
func (c *Client) handleRejection(ctx context.Context, commits []chuteevent.CommitTable, err error) bool {
	if len(commits) > 1 {
		for i := range commits {
			if !c.commit(ctx, commits[i:i+1]) {
				return false
			}
		}
		return true
	}
	c.log.Error("store: the table service rejects a commit", "token", string(commits[0].Token), "error", errors.Cause(err).Error())
	select { // the core may write the same rows again at once
	case <-time.After(rejectionDelay):
	case <-ctx.Done():
		return false
	}
	c.failAll(ctx, commits)
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
