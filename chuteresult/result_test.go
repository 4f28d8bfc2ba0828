package chuteresult_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteresult"
)

// TestResultsPageMatchesTable compares docs/RESULTS.md with the code, line by line.
func TestResultsPageMatchesTable(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/RESULTS.md")
	is.NoErr(err)
	var lines []string
	for _, line := range strings.Split(string(page), "\n") {
		if len(line) > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9' {
			lines = append(lines, line)
		}
	}
	classes := map[chuteresult.Class]string{
		chuteresult.ClassRan: "ran", chuteresult.ClassNotRun: "not run", chuteresult.ClassUnknown: "outcome unknown",
	}
	is.Equal(len(lines), len(chuteresult.Table()))
	for i, e := range chuteresult.Table() {
		is.Equal(lines[i], fmt.Sprintf("| %d | %s | %s | %d | %s |", e.Code, e.Name, classes[e.Code.Class()], e.Status, e.Meaning))
	}
}

func TestExitCodesMatchClass(t *testing.T) {
	is := is.New(t)
	for _, e := range chuteresult.Table() {
		want := map[chuteresult.Class]int{chuteresult.ClassRan: 0, chuteresult.ClassNotRun: 2, chuteresult.ClassUnknown: 3}[e.Code.Class()]
		if e.Code == chuteresult.RanFailed {
			want = 1
		}
		is.Equal(e.Code.ExitCode(), want)
		is.True(e.Status >= 200 && e.Status < 600)
	}
}
