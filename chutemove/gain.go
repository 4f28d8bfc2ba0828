package chutemove

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
)

const (
	// stopTime is the longest usual time from the stop order of a run to its end.
	stopTime = 400 * time.Millisecond
	// restoreTime is the longest usual time that a task takes to resume from a checkpoint.
	restoreTime = 250 * time.Millisecond
	// startTime is the time that the end of the old run, the record of the new one and its start order take.
	startTime = 150 * time.Millisecond
	// slownessLeft is how long a worker is expected to stay slow: slowness lasts 6 to 14 s, of which its detection takes 2.
	slownessLeft = 6 * time.Second
	// minGainFactor is by how much the time in place must exceed that of a move. The rates are known to within a fifth.
	minGainFactor = 1.3
	// minGain is the least time that a move must save.
	minGain = time.Second
	// maxUnsavedWork is the most work of a run without checkpoints that a move may discard, at the usual speed.
	maxUnsavedWork = time.Second
)

// Work is what is known of a run, or of a gang at its slowest member, for the decision on a move. Times are at the usual speed.
type Work struct {
	Left    time.Duration // work that is left
	Unsaved time.Duration // work that a stop discards
	Saves   bool          // the task saves checkpoints
	Speed   float64       // relative speed of its worker
}

// InPlace returns the expected time to the end without a move.
func (w Work) InPlace() time.Duration {
	slow := time.Duration(float64(w.Left) / w.Speed)
	if slow <= slownessLeft {
		return slow
	}
	return slownessLeft + w.Left - time.Duration(float64(slownessLeft)*w.Speed)
}

// Moved returns the expected time to the end after a move.
func (w Work) Moved() time.Duration {
	moved := stopTime + startTime + w.Unsaved + w.Left
	if w.Saves {
		moved += restoreTime
	}
	return moved
}

// Gain returns the time that a move saves, and false if it is not worth it.
func (w Work) Gain() (time.Duration, bool) {
	gain := w.InPlace() - w.Moved()
	worth := gain >= minGain && float64(w.InPlace()) >= minGainFactor*float64(w.Moved())
	return gain, worth && (w.Saves || w.Unsaved <= maxUnsavedWork)
}

// workOf returns the work of a run of the step on a worker of the speed, by the rate in percent per second at the usual speed.
func workOf(r chutepool.Run, step chutegraph.Step, rate, speed float64, now time.Time) Work {
	seconds := func(percent float64) time.Duration { return time.Duration(percent / rate * float64(time.Second)) }
	percent := min(99, float64(r.Percent)+now.Sub(r.ProgressReadAt).Seconds()*rate*speed)
	w := Work{Left: seconds(100 - percent), Unsaved: seconds(percent), Saves: step.Checkpointing, Speed: speed}
	if step.Checkpointing {
		w.Unsaved = min(w.Unsaved, now.Sub(r.CheckpointedAt))
	}
	return w
}
