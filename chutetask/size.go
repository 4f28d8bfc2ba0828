package chutetask

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// Upper bounds of the size of the parts of an encoded Progress, without texts and numbers.
const (
	progressBytes  = 64
	finishedBytes  = 1
	taskBytes      = 2 // the array and its phase
	begunBytes     = 15
	placementBytes = 40
	// incarnationBytes are those of the occurrence, step, index and incarnation of a task, seven bits a byte.
	incarnationBytes = 16
	crashBytes       = 40
	failuresBytes    = 16
	failedRunBytes   = 5
	// maxWorkerIDBytes is the length of the longest id of a worker.
	maxWorkerIDBytes = 200
	// usualFailures is the number of failed runs that a task has at most, as a rule.
	usualFailures = 4
	// MaxRunBytes is by how much a task grows at most whose next run is recorded and fails: its worker's id may have any length.
	MaxRunBytes = incarnationBytes + maxWorkerIDBytes + failuresBytes + usualFailures*failedRunBytes + 4
)

const (
	// MaxProgressBytes is the largest size of all rows with a job's progress: one transaction of the store holds them, as text
	// that is a third longer, beside the leader's row.
	MaxProgressBytes = 560_000
	// maxReservedBytes is the largest part of it that is kept for the runs of tasks that are not done.
	maxReservedBytes = MaxProgressBytes / 4 * 3
	// SafeTasks is the number of tasks whose runs certainly fit in that part.
	SafeTasks = maxReservedBytes / MaxRunBytes
	// MaxTaskBytes is the largest size of one task, which a row must hold.
	MaxTaskBytes = chutegraph.MaxRowBytes - 1024
)

// SizeBound returns an upper bound of the number of bytes of the encoded progress without the details of what is done.
func (p Progress) SizeBound() int {
	size := progressBytes + len(p.Occurrences)*finishedBytes
	for _, steps := range p.Occurrences {
		size += numberBytes(len(steps))
		for _, tasks := range steps {
			size += numberBytes(len(tasks))
			for _, t := range tasks {
				size += t.SizeBound()
			}
		}
	}
	return size
}

// numberBytes returns how many bytes a number takes, or the head of a text or an array of that length.
func numberBytes(n int) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	}
	return 9
}

func textBytes(text string) int {
	return numberBytes(len(text)) + len(text)
}

// SizeBound returns an upper bound of the number of bytes of the encoded task.
func (t Task) SizeBound() int {
	if t.Phase == TaskDone {
		t = t.withoutDetails()
	}
	size := t.requiredBytes() + t.optionalBytes()
	if len(t.FailedRuns) > 0 {
		size += failuresBytes + len(t.FailedRuns)*failedRunBytes
	}
	return size
}

// requiredBytes returns how many bytes of the encoded task tell what a later scheduler must know, but for its failed runs.
func (t Task) requiredBytes() int {
	size := taskBytes + numberBytes(t.Run) + textBytes(string(t.Worker)) + numberBytes(t.Failures)
	if t.Incarnation != 0 {
		size += incarnationBytes
	}
	return size
}

// optionalBytes returns how many bytes of the encoded task tell what is good to know: its checkpoint, and the crashes under it.
func (t Task) optionalBytes() int {
	size := textBytes(t.Checkpoint)
	if t.Begun {
		size += begunBytes
	}
	if t.Quarantined || !t.Crashes.Empty() {
		size += placementBytes
	}
	for _, c := range t.Crashes.Crashes() {
		size += crashBytes + len(c.Worker)
	}
	return size
}

// FitsInStore reports whether the progress is certain to fit in the store, and goes on to do so whatever must be recorded later of
// the tasks that are not done. What is good to know is recorded only while it does.
func (p Progress) FitsInStore() bool {
	size, reserved := progressBytes+len(p.Occurrences)*finishedBytes, 0
	for _, steps := range p.Occurrences {
		for _, tasks := range steps {
			size += numberBytes(len(tasks))
			for _, t := range tasks {
				bytes := t.SizeBound()
				if bytes > MaxTaskBytes {
					return false
				}
				size += bytes
				if t.Phase != TaskDone {
					reserved += max(0, MaxRunBytes-t.requiredBytes())
				}
			}
		}
	}
	return size+min(reserved, maxReservedBytes) <= MaxProgressBytes
}

// WithoutDoneDetails returns the progress without workers and checkpoints of the tasks that are done.
func (p Progress) WithoutDoneDetails() Progress {
	p.Occurrences = slices.Clone(p.Occurrences)
	for k, steps := range p.Occurrences {
		if steps != nil {
			p.Occurrences[k] = withoutDoneDetails(steps)
		}
	}
	return p
}

func withoutDoneDetails(steps [][]Task) [][]Task {
	bare := make([][]Task, len(steps))
	for i, tasks := range steps {
		bare[i] = slices.Clone(tasks)
		for k, t := range tasks {
			if t.Phase == TaskDone {
				bare[i][k] = t.withoutDetails()
			}
		}
	}
	return bare
}

// withoutDetails returns the phase of the task and the numbers of its runs and failures.
func (t Task) withoutDetails() Task {
	return Task{Phase: t.Phase, Run: t.Run, Failures: t.Failures}
}
