package chuteshard

import (
	"time"

	"monsoonchute.example/monsoonchute/chutejob"
)

const (
	// retireInterval is the time between two deletions of old jobs.
	retireInterval = time.Minute
	// maxRetired is the number of jobs that one deletion takes at most.
	maxRetired = 50
)

// retire deletes jobs that ended longer ago than a request id is remembered, so that a recovery reads what is live and
// what ended lately.
func (t *turn) retire() {
	if !t.Environment.StoreUp || t.Now().Sub(t.state.retiredAt) < retireInterval {
		return
	}
	t.state.retiredAt = t.Now()
	var old []chutejob.ID
	for _, j := range t.State.Ended() {
		if t.Now().Sub(j.EndedAt) >= t.Environment.Document.Policy.IntentRetention && len(old) < maxRetired {
			old = append(old, j.ID)
		}
	}
	if len(old) > 0 {
		t.DeleteJobs(old)
	}
}
