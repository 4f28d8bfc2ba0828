package chutetask

// Upper bounds of the size of the parts of an encoded Progress, without texts.
const (
	progressBytes   = 64
	occurrenceBytes = 10
	stepBytes       = 9
	taskBytes       = 24
	placementBytes  = 40
)

// SizeBound returns an upper bound of the number of bytes of the encoded progress.
func (p Progress) SizeBound() int {
	size := progressBytes
	for _, steps := range p.Occurrences {
		size += occurrenceBytes + len(steps)*stepBytes
		for _, tasks := range steps {
			for _, t := range tasks {
				size += taskBytes + len(t.Worker) + len(t.Checkpoint)
				if t.Incarnation != 0 || t.Crashes.LastRun != 0 {
					size += placementBytes
				}
			}
		}
	}
	return size
}
