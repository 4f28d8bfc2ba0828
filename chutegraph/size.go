package chutegraph

// MaxRowBytes is the size of the largest row that the store accepts. A row holds the submission of a job, others its progress.
const MaxRowBytes = 65_536

// Sizes of the parts of a recorded submission.
const (
	submissionBytes = 2000 // without payload and steps
	stepBytes       = 400  // without texts and dependencies
	dependencyBytes = 2
)

// Sizes of the parts of a job's recorded progress, with ids of workers and checkpoints of the usual lengths. A job of that size
// is accepted if it fits in one row; its progress takes several rows where the ids are longer or workers crash.
const (
	progressBytes       = 64
	occurrenceBytes     = 4
	occurrenceStepBytes = 3
	taskBytes           = 8
	activeTaskBytes     = 44 // beyond taskBytes, until the task's occurrence is finished
	checkpointBytes     = 20 // beyond these, for a task that writes checkpoints
)

// checkSize returns an error if the job's submission, or its progress when all tasks have run, would not usually fit in a row.
func (s Spec) checkSize() error {
	if size := s.recordedBytes(); size > MaxRowBytes {
		return malformed("steps: the job takes %d bytes, the limit is %d", size, MaxRowBytes)
	}
	if size := s.progressBytes(); size > MaxRowBytes {
		return malformed("steps: the progress of their tasks takes %d bytes, the limit is %d", size, MaxRowBytes)
	}
	return nil
}

// recordedBytes returns how many bytes the recorded submission takes.
func (s Spec) recordedBytes() int {
	size := submissionBytes + len(s.Payload)
	for _, step := range s.Steps {
		size += stepBytes + len(step.Label) + len(step.DataRack) + len(step.Image) + dependencyBytes*len(step.After)
	}
	return size
}

// progressBytes returns how many bytes the job's recorded progress may take.
func (s Spec) progressBytes() int {
	recorded, active := occurrenceBytes, 0
	for _, step := range s.Steps {
		recorded += occurrenceStepBytes + taskBytes*step.Count
		active += activeTaskBytes * step.Count
		if step.Checkpointing {
			active += checkpointBytes * step.Count
		}
	}
	return progressBytes + s.Occurrences()*recorded + active
}
