package chuterow

import (
	"slices"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chutetask"
)

// crashNumbers is how many numbers stand for the details of a crash: its place in the task's record, its member and one more,
// its flags and its chance.
const crashNumbers = 4

// The flags of a crash.
const (
	flagBegan = 1 << iota
	flagUnknown
	flagPlanned
)

// encodeCrashDetails returns, as variable-length numbers, what encodedCrash leaves out of the tasks' crashes, each after the
// place of its task.
func encodeCrashDetails(v chuteaction.ProgressRow) []byte {
	var body []byte
	forEachTask(v.Progress, func(occurrence, step, index int, task *chutetask.Task) {
		for n, c := range task.Crashes.Crashes() {
			body = appendNumbers(body, occurrence, step, index, n, c.Member+1, crashFlags(c), c.Chance)
		}
	})
	return body
}

func crashFlags(c chutequarantine.Crash) int {
	flags := 0
	if c.Began {
		flags |= flagBegan
	}
	if c.Unknown {
		flags |= flagUnknown
	}
	if c.Planned {
		flags |= flagPlanned
	}
	return flags
}

// decodeCrashDetails adds the details to the crashes of the tasks of the progress. It stops at a malformed number.
func decodeCrashDetails(body []byte, progress chutetask.Progress) {
	readDetails(body, crashNumbers, progress, func(task *chutetask.Task, details []int) {
		n, memberAfter, flags, chance := details[0], details[1], details[2], details[3]
		crashes := slices.Clone(task.Crashes.Crashes())
		if n >= len(crashes) {
			return
		}
		crashes[n].Member = memberAfter - 1
		crashes[n].Began, crashes[n].Unknown = flags&flagBegan != 0, flags&flagUnknown != 0
		crashes[n].Planned = flags&flagPlanned != 0
		crashes[n].Chance = chance
		latest, survivals := task.Crashes.Survivals()
		task.Crashes = chutequarantine.NewRecord(crashes, latest, survivals)
	})
}
