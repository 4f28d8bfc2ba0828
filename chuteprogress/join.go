package chuteprogress

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Join returns one row for each job of which there are rows of progress, in the order of their keys, with all its tasks. The value is
// nil if rows of the job cannot be decoded, or the tasks are not complete. Parts is the number of rows with tasks that the
// store has of the job.
func Join(rows []chuteaction.Row) []chuteaction.Row {
	var joined []chuteaction.Row
	for len(rows) > 0 {
		id := chuteaction.JobOfProgressKey(rows[0].Key)
		count := 1
		for count < len(rows) && chuteaction.JobOfProgressKey(rows[count].Key) == id {
			count++
		}
		joined = append(joined, joinJob(id, rows[:count]))
		rows = rows[count:]
	}
	return joined
}

// joinJob returns the row of a job from all rows of it.
func joinJob(id chutegraph.JobID, rows []chuteaction.Row) chuteaction.Row {
	head := rows[0]
	if head.RowKey != chuteaction.ProgressKey(id) {
		return chuteaction.Row{RowKey: chuteaction.ProgressKey(id), Version: head.Version}
	}
	row, ok := head.Value.(chuteaction.ProgressRow)
	if !ok {
		return head
	}
	complete := true
	if row.Parts > 0 {
		row.Occurrences, complete = joinTasks(head.Version, row, rows[1:])
	}
	row.Parts = len(rows) - 1
	head.Value = row
	if !complete {
		head.Value = nil
	}
	return head
}

// joinTasks returns the tasks of a job from the rows that the transaction of its first row wrote, and false if they are not
// complete.
func joinTasks(version chuteaction.RowVersion, head chuteaction.ProgressRow, rows []chuteaction.Row) ([][][]chutetask.Task, bool) {
	parts := make([][]chutetask.Range, head.Parts)
	for _, r := range rows {
		part, ok := r.Value.(chuteaction.ProgressPartRow)
		if ok && r.Version == version && part.Number >= 1 && part.Number <= head.Parts {
			parts[part.Number-1] = part.Ranges
		}
	}
	occurrences := make([][][]chutetask.Task, len(head.Finished))
	for _, ranges := range parts {
		if len(ranges) == 0 {
			return nil, false
		}
		for _, r := range ranges {
			if !appendRange(occurrences, r) {
				return nil, false
			}
		}
	}
	return occurrences, true
}

// appendRange appends the tasks to their step. It returns false unless they directly follow those before them.
func appendRange(occurrences [][][]chutetask.Task, r chutetask.Range) bool {
	if r.Occurrence < 0 || r.Occurrence >= len(occurrences) {
		return false
	}
	steps := occurrences[r.Occurrence]
	if r.Step == len(steps) {
		steps = append(steps, nil)
		occurrences[r.Occurrence] = steps
	}
	if r.Step != len(steps)-1 || r.First != len(steps[r.Step]) {
		return false
	}
	steps[r.Step] = append(steps[r.Step], r.Tasks...)
	return true
}
