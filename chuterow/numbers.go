package chuterow

import (
	"encoding/binary"

	"monsoonchute.example/monsoonchute/chutetask"
)

// maxNumber is the largest number that is decoded.
const maxNumber = 1 << 62

// appendNumbers appends numbers of variable length to the body.
func appendNumbers(body []byte, numbers ...int) []byte {
	for _, number := range numbers {
		body = binary.AppendUvarint(body, uint64(number))
	}
	return body
}

// readNumbers reads variable-length numbers into the targets and returns the rest of the body. It returns false if a number
// is malformed or too large.
func readNumbers(body []byte, targets []int) ([]byte, bool) {
	for i := range targets {
		number, size := binary.Uvarint(body)
		if size <= 0 || number > maxNumber {
			return nil, false
		}
		targets[i] = int(number)
		body = body[size:]
	}
	return body, true
}

// placeNumbers is how many numbers stand for the place of a task in its job: its occurrence, step and index.
const placeNumbers = 3

// readDetails reads, for one task after another, the numbers of its place and as many as count of its details, and calls
// apply for those of the tasks that the progress has. It stops at a malformed number.
func readDetails(body []byte, count int, progress chutetask.Progress, apply func(task *chutetask.Task, details []int)) {
	numbers := make([]int, placeNumbers+count)
	for len(body) > 0 {
		rest, ok := readNumbers(body, numbers)
		if !ok {
			return
		}
		body = rest
		if task, ok := findTask(progress, numbers[0], numbers[1], numbers[2]); ok {
			apply(task, numbers[placeNumbers:])
		}
	}
}
