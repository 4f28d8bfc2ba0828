package chutetask

import "slices"

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
	// RunBytes is by how much a task grows that gets a run, with a worker's id and a checkpoint of the usual lengths, and fails
	// once.
	RunBytes = incarnationBytes + failuresBytes + failedRunBytes + 2*usualTextBytes
	// usualTextBytes is the length of the ids of workers and the checkpoints that jobs are accepted for.
	usualTextBytes = 20
)

// SizeBound returns an upper bound of the number of bytes of the encoded progress without the details of what is done.
func (p Progress) SizeBound() int {
	size := progressBytes + len(p.Occurrences)*finishedBytes
	for _, steps := range p.Occurrences {
		size += numberBytes(len(steps))
		for _, tasks := range steps {
			size += numberBytes(len(tasks))
			for _, t := range tasks {
				size += t.sizeBound()
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

// sizeBound returns an upper bound of the number of bytes of the encoded task.
func (t Task) sizeBound() int {
	if t.Phase == TaskDone {
		t = t.withoutDetails()
	}
	size := taskBytes + numberBytes(t.Run) + textBytes(string(t.Worker)) + textBytes(t.Checkpoint) + numberBytes(t.Failures)
	if t.Begun {
		size += begunBytes
	}
	switch {
	case t.Quarantined || !t.Crashes.Empty():
		size += placementBytes
	case t.Incarnation != 0:
		size += incarnationBytes
	}
	for _, c := range t.Crashes.Crashes() {
		size += crashBytes + len(c.Worker)
	}
	if len(t.FailedRuns) > 0 {
		size += failuresBytes + len(t.FailedRuns)*failedRunBytes
	}
	return size
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
