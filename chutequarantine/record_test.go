package chutequarantine_test

import (
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutequarantine"
)

// crash is a crash during a run; a negative run takes the crash back.
type crash struct {
	run         int
	quarantined bool
}

func TestATaskIsGivenUpOnlyAfterCrashesInQuarantine(t *testing.T) {
	cases := []struct {
		name        string
		crashes     []crash
		quarantined bool
		givenUp     bool
	}{
		{"no crash", nil, false, false},
		{"one crash", []crash{{1, false}}, false, false},
		{"two crashes beside others", []crash{{1, false}, {2, false}}, true, false},
		{"many crashes beside others", []crash{{1, false}, {2, false}, {3, false}, {4, false}}, true, false},
		{"one crash in quarantine", []crash{{1, false}, {2, false}, {3, true}}, true, false},
		{"two crashes in quarantine", []crash{{1, false}, {2, false}, {3, true}, {4, true}}, true, true},
		{"one run of a gang on two workers that crash", []crash{{1, false}, {1, false}}, false, false},
		{"a late report of an earlier crash", []crash{{2, false}, {1, false}}, false, false},
		{"a crash that was a cut", []crash{{1, false}, {2, false}, {-2, false}}, false, false},
		{"a crash in quarantine that was a cut", []crash{{1, false}, {2, false}, {3, true}, {-3, true}, {4, true}}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := chutequarantine.Record{}
			for _, crash := range c.crashes {
				if crash.run < 0 {
					r = r.WithoutCrash(crash.quarantined)
					continue
				}
				r = r.WithCrash(crash.run, crash.quarantined)
			}
			is.Equal(r.NeedsQuarantine(), c.quarantined)
			is.Equal(r.GivenUp(), c.givenUp)
		})
	}
}
