package chutesimulation

import (
	"os"
	"strconv"
	"strings"
)

// seedsVariable names the environment variable that replaces a test's seeds, as "first:count".
const seedsVariable = "MONSOONCHUTE_SEEDS"

// Seeds returns the number of seeds from the first on, or those that the environment asks for.
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
