package chuterow

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
)

// encodeBegun returns, as variable-length numbers, the places of the tasks whose latest run is confirmed by its worker.
func encodeBegun(v chuteaction.ProgressRow) []byte {
	var body []byte
	forEachTask(v.Progress, func(occurrence, step, index int, task *chutetask.Task) {
		if task.Begun {
			body = appendNumbers(body, occurrence, step, index)
		}
	})
	return body
}

// decodeBegun marks the tasks of the progress whose latest run is confirmed. It stops at a malformed number.
func decodeBegun(body []byte, progress chutetask.Progress) {
	readDetails(body, 0, progress, func(task *chutetask.Task, _ []int) { task.Begun = true })
}
