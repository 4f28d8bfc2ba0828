package chutemeasure

import (
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"
)

// TestCapacityPageHasItsTable checks that the table of docs/CAPACITY.md has a row for each benchmark, with four sizes.
func TestCapacityPageHasItsTable(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/CAPACITY.md")
	is.NoErr(err)
	for _, name := range []string{
		"BenchmarkPlan", "BenchmarkOwnerTick", "BenchmarkOwnerReport", "BenchmarkOwnerMemory", "BenchmarkMesh",
		"BenchmarkRequest", "BenchmarkPollBytes",
	} {
		row := regexp.MustCompile(`(?m)^\| ` + name + `[^|]*\| [^|]+ \| \d+ \d+ \d+ \d+ \|( [\d.]+ \|){4}$`)
		is.True(row.Match(page)) // the row has four sizes and four figures
	}
}
