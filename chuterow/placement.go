package chuterow

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chutetask"
)

// encodedPlacement is the part of a task that tells on which incarnation of its worker it runs, and which workers crashed
// under it. It is apart from encodedTask, so that rows without it can be decoded, and older hosts can decode rows with it.
type encodedPlacement struct {
	_           struct{} `cbor:",toarray"`
	Occurrence  int
	Step        int
	Index       int
	Incarnation int64
	Quarantined bool
	SurvivedRun int
	Survivals   int
	Crashes     []encodedCrash
}

type encodedCrash struct {
	_           struct{} `cbor:",toarray"`
	Run         int
	Worker      string
	Incarnation int64
	Quarantined bool
	Confirmed   bool
	AtMilli     int64 // Unix time in milliseconds
}

// encodePlacements returns the placements of the tasks of which more than an incarnation is to be recorded.
func encodePlacements(v chuteaction.ProgressRow) []encodedPlacement {
	var placements []encodedPlacement
	forEachTask(v.Progress, func(occurrence, step, index int, task *chutetask.Task) {
		if !hasPlacement(task) {
			return
		}
		p := encodedPlacement{Occurrence: occurrence, Step: step, Index: index, Incarnation: task.Incarnation, Quarantined: task.Quarantined}
		p.SurvivedRun, p.Survivals = task.Crashes.Survivals()
		p.Crashes = encodeCrashes(task.Crashes)
		placements = append(placements, p)
	})
	return placements
}

// hasPlacement reports whether more than the incarnation of its worker is to be recorded of the task.
func hasPlacement(t *chutetask.Task) bool {
	return t.Quarantined || !t.Crashes.Empty()
}

func encodeCrashes(record chutequarantine.Record) []encodedCrash {
	var crashes []encodedCrash
	for _, c := range record.Crashes() {
		crashes = append(crashes, encodedCrash{
			Run: c.Run, Worker: c.Worker, Incarnation: c.Incarnation, Quarantined: c.Quarantined, Confirmed: c.Confirmed, AtMilli: c.At.UnixMilli(),
		})
	}
	return crashes
}

// apply adds the placement to the task of the progress, if that has such a task.
func (p encodedPlacement) apply(progress chutetask.Progress) {
	task, ok := findTask(progress, p.Occurrence, p.Step, p.Index)
	if !ok {
		return
	}
	var crashes []chutequarantine.Crash
	for _, c := range p.Crashes {
		crashes = append(crashes, chutequarantine.Crash{
			Run: c.Run, Worker: c.Worker, Incarnation: c.Incarnation, Quarantined: c.Quarantined, Confirmed: c.Confirmed, At: time.UnixMilli(c.AtMilli),
			Member: chutequarantine.UnknownMember, Began: true,
		})
	}
	task.Incarnation, task.Quarantined = p.Incarnation, p.Quarantined
	task.Crashes = chutequarantine.NewRecord(crashes, p.SurvivedRun, p.Survivals)
}
