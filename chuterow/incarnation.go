package chuterow

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
)

// encodeIncarnations returns, as variable-length numbers, the places of the active tasks that have no placement of their own,
// each with the incarnation of its worker. Most tasks of most rows have one, so that they are kept small.
func encodeIncarnations(v chuteaction.ProgressRow) []byte {
	var body []byte
	forEachTask(v.Progress, func(occurrence, step, index int, task *chutetask.Task) {
		if task.Phase == chutetask.TaskActive && task.Incarnation > 0 && !hasPlacement(task) {
			body = appendNumbers(body, occurrence, step, index, int(task.Incarnation))
		}
	})
	return body
}

// decodeIncarnations adds the incarnations to the tasks of the progress. It stops at a malformed number.
func decodeIncarnations(body []byte, progress chutetask.Progress) {
	readDetails(body, 1, progress, func(task *chutetask.Task, details []int) { task.Incarnation = int64(details[0]) })
}
