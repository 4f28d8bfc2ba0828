package chuteshard

import (
	"time"

	"monsoonchute.example/monsoonchute/chutejob"
)

const (
	// deleteInterval is the time between two deletions of old jobs.
	deleteInterval = time.Minute
	// maxDeleted is the maximum number of jobs in one deletion.
	maxDeleted = 50
)

// deleteOldJobs deletes jobs that ended longer ago than request ids are kept, so that a recovery reads only live and
// recently ended jobs.
func (t *transition) deleteOldJobs() {
	if !t.Environment.StoreUp || t.Now().Sub(t.state.deletedAt) < deleteInterval {
		return
	}
	t.state.deletedAt = t.Now()
	var old []chutejob.ID
	for _, j := range t.State.Ended() {
		if t.Now().Sub(j.EndedAt) >= t.Environment.Document.Policy.IntentRetention && len(old) < maxDeleted {
			old = append(old, j.ID)
		}
	}
	if len(old) > 0 {
		t.DeleteJobs(old)
	}
}
