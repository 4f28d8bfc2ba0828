package chuteprogress

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Upper bounds of the size of the parts of an encoded row with tasks.
const (
	partBytes  = 128 // without ranges
	rangeBytes = 32  // of a range without its tasks
)

// Rows returns the rows that record the progress of a job: one if it fits in so many bytes, or else one without tasks and others
// that hold the tasks. If the store has more rows with tasks of the job than that, rows without any replace these.
func Rows(j chutetask.Job, maxRowBytes, stored int) []chuteaction.Row {
	progress := j.WithoutDoneDetails()
	var parts [][]chutetask.Range
	if progress.SizeBound() > maxRowBytes {
		parts = divide(progress, maxRowBytes)
		progress.Occurrences = nil
	}
	rows := []chuteaction.Row{{
		RowKey: chuteaction.ProgressKey(j.ID), Value: chuteaction.ProgressRow{Job: j.ID, Progress: progress, Parts: len(parts)},
	}}
	for i := range max(len(parts), stored) {
		part := chuteaction.ProgressPartRow{Job: j.ID, Number: i + 1}
		if i < len(parts) {
			part.Ranges = parts[i]
		}
		rows = append(rows, chuteaction.Row{RowKey: chuteaction.ProgressPartKey(j.ID, part.Number), Value: part})
	}
	return rows
}

// divider collects ranges of tasks into parts of a limited size.
type divider struct {
	limit int // bytes of a part
	parts [][]chutetask.Range
	open  []chutetask.Range // of the part that is being filled
	size  int               // of that part, in bytes
}

// divide returns the tasks of the progress in parts of so many bytes at most. A part holds one task at least.
func divide(p chutetask.Progress, limit int) [][]chutetask.Range {
	d := &divider{limit: limit, size: partBytes}
	for k, steps := range p.Occurrences {
		for s, tasks := range steps {
			d.addTasks(chutetask.Range{Occurrence: k, Step: s, Tasks: tasks})
		}
	}
	d.close()
	return d.parts
}

// addTasks adds all tasks of a step.
func (d *divider) addTasks(whole chutetask.Range) {
	current := chutetask.Range{Occurrence: whole.Occurrence, Step: whole.Step}
	d.size += rangeBytes
	for i, t := range whole.Tasks {
		bytes := t.SizeBound()
		if d.size+bytes > d.limit && len(d.open)+i-current.First > 0 {
			current.Tasks = whole.Tasks[current.First:i]
			d.addRange(current)
			d.close()
			current.First = i
			d.size += rangeBytes
		}
		d.size += bytes
	}
	current.Tasks = whole.Tasks[current.First:]
	d.addRange(current)
}

// addRange adds a range to the open part, unless it is empty.
func (d *divider) addRange(r chutetask.Range) {
	if len(r.Tasks) > 0 {
		d.open = append(d.open, r)
	}
}

// close ends the open part, if it has any tasks.
func (d *divider) close() {
	if len(d.open) > 0 {
		d.parts = append(d.parts, d.open)
	}
	d.open, d.size = nil, partBytes
}
