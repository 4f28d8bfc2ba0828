package chutemove_test

import (
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chutemove"
)

// TestAMoveIsWorthItOnlyWhereItSavesTime guards against stops of work that would have ended as soon, or whose loss nothing repays.
func TestAMoveIsWorthItOnlyWhereItSavesTime(t *testing.T) {
	cases := []struct {
		name  string
		work  chutemove.Work
		worth bool
	}{
		{"a gang just begun", chutemove.Work{Left: 2 * time.Second, Unsaved: 400 * time.Millisecond, Speed: 0.2}, true},
		{"a saved task with much left", chutemove.Work{Left: 5 * time.Second, Unsaved: time.Second, Saves: true, Speed: 0.2}, true},
		{"a task near its end", chutemove.Work{Left: 200 * time.Millisecond, Unsaved: 400 * time.Millisecond, Saves: true, Speed: 0.2}, false},
		{"a task without checkpoints that has worked", chutemove.Work{Left: 6 * time.Second, Unsaved: 2 * time.Second, Speed: 0.1}, false},
		{"a task that is hardly slower", chutemove.Work{Left: 3 * time.Second, Unsaved: 100 * time.Millisecond, Saves: true, Speed: 0.8}, false},
		{"long work that outlasts the slowness", chutemove.Work{Left: time.Minute, Unsaved: 2 * time.Second, Saves: true, Speed: 0.2}, false},
	}
	for _, c := range cases {
		if gain, worth := c.work.Gain(); worth != c.worth {
			t.Errorf("%s: worth %v with a gain of %s", c.name, worth, gain)
		}
	}
}
