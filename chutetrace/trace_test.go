package chutetrace_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutetrace"
)

const firstLog = `{"time":"2026-05-16T14:15:04.2Z","level":"INFO","msg":"scheduler: step starts","host":"a","job":"j1","step":"j1.0.0"}
not a line of ours
{"time":"2026-05-16T14:15:04.3Z","level":"INFO","msg":"leader: another host leads","host":"a","epoch":"2"}
{"time":"2026-05-16T14:15:04.4Z","level":"INFO","msg":"scheduler: step starts","host":"a","job":"j2"}
{"time":"2026-05-16T14:15:09Z","level":"INFO","msg":"leader: another host leads","host":"a","epoch":"3"}
`

const secondLog = `  -3.1 host {"time":"2026-05-16T14:15:04.1Z","level":"INFO","msg":"intake: job accepted","host":"b","job":"j1","queue":"q"}
{"time":"2026-05-16T14:15:05Z","level":"INFO","msg":"scheduler: run yields","host":"b","job":"j3","to":"j1.0.0"}
`

func TestForJob(t *testing.T) {
	is := is.New(t)
	lines, skipped, err := chutetrace.Read(nil, strings.NewReader(firstLog))
	is.NoErr(err)
	is.Equal(skipped, 1)
	lines, _, err = chutetrace.Read(lines, strings.NewReader(secondLog))
	is.NoErr(err)
	var texts []string
	for _, l := range chutetrace.ForJob(lines, "j1") {
		texts = append(texts, l.Host+" "+l.Text)
	}
	is.Equal(texts, []string{"b intake: job accepted", "a scheduler: step starts", "a leader: another host leads", "b scheduler: run yields"})
	is.Equal(len(chutetrace.ForJob(lines, "j9")), 0)
}
