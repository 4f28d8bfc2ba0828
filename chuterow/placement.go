package chuterow

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chutetask"
)

// encodedPlacement is the part of a task that tells on which incarnation of its worker it runs, and which workers crashed
// under it. It is apart from encodedTask, so that rows without it can be decoded, and older hosts can decode rows with it.
type encodedPlacement struct {
	_                  struct{} `cbor:",toarray"`
	Occurrence         int
	Step               int
	Index              int
	Incarnation        int64
	Quarantined        bool
	Crashes            int
	QuarantinedCrashes int
	LastCrashedRun     int
}

// encodePlacements returns the placements of the tasks that have one to be recorded.
func encodePlacements(v chuteaction.ProgressRow) []encodedPlacement {
	var placements []encodedPlacement
	for k, steps := range v.Occurrences {
		for s, tasks := range steps {
			for i, t := range tasks {
				if !hasPlacement(t) {
					continue
				}
				placements = append(placements, encodedPlacement{
					Occurrence: k, Step: s, Index: i, Incarnation: t.Incarnation, Quarantined: t.Quarantined,
					Crashes: t.Crashes.Crashes, QuarantinedCrashes: t.Crashes.Quarantined, LastCrashedRun: t.Crashes.LastRun,
				})
			}
		}
	}
	return placements
}

// hasPlacement reports whether the task may be running, or workers crashed under it.
func hasPlacement(t chutetask.Task) bool {
	return t.Phase == chutetask.TaskActive && t.Incarnation != 0 || t.Crashes.LastRun != 0
}

// apply adds the placement to the task of the progress, if that has such a task.
func (p encodedPlacement) apply(progress chutetask.Progress) {
	task, ok := findTask(progress, p.Occurrence, p.Step, p.Index)
	if !ok {
		return
	}
	task.Incarnation, task.Quarantined = p.Incarnation, p.Quarantined
	task.Crashes = chutequarantine.Record{Crashes: p.Crashes, Quarantined: p.QuarantinedCrashes, LastRun: p.LastCrashedRun}
}

// findTask returns the task of the progress in place, and false if it does not exist.
func findTask(progress chutetask.Progress, occurrence, step, index int) (*chutetask.Task, bool) {
	if occurrence < 0 || occurrence >= len(progress.Occurrences) {
		return nil, false
	}
	steps := progress.Occurrences[occurrence]
	if step < 0 || step >= len(steps) || index < 0 || index >= len(steps[step]) {
		return nil, false
	}
	return &steps[step][index], true
}
