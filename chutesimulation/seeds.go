package chutesimulation

import (
	"os"
	"strconv"
	"strings"
)

// seedsVariable is the environment variable that replaces the seeds of a test, in the form "first:count".
const seedsVariable = "MONSOONCHUTE_SEEDS"

// Seeds returns count consecutive seeds from first on, or those that MONSOONCHUTE_SEEDS states as "first:count".
func Seeds(first uint64, count int) []uint64 {
	from, length, ok := strings.Cut(os.Getenv(seedsVariable), ":")
	if start, err := strconv.ParseUint(from, 10, 64); ok && err == nil {
		if n, err := strconv.Atoi(length); err == nil && n > 0 {
			first, count = start, n
		}
	}
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}
