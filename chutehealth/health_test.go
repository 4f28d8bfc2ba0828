package chutehealth_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutehealth"
)

var now = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func failing(jobs ...string) chutehealth.Health {
	health := chutehealth.Health{}.WithReport(now)
	for _, job := range jobs {
		health = health.WithFailure(job, now)
	}
	return health
}

// TestSuspicion states after which failures a worker is left out.
func TestSuspicion(t *testing.T) {
	cases := []struct {
		name      string
		health    chutehealth.Health
		suspected bool
	}{
		{"no failure", failing(), false},
		{"two jobs", failing("a", "b"), false},
		{"one job often", failing("a", "a", "a", "a"), false},
		{"three jobs", failing("a", "b", "c"), true},
		{"a success between", failing("a", "b").WithSuccess().WithFailure("c", now), false},
		{"a job that fails everywhere does not count", failing("a", "b").WithoutFailures("a").WithFailure("c", now), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.health.Suspected(now), c.suspected)
		})
	}
}

func TestProbationDecides(t *testing.T) {
	is := is.New(t)
	rested := now.Add(31 * time.Second)
	health := failing("a", "b", "c").WithReport(rested)
	is.True(!health.Usable(now.Add(29 * time.Second)))
	is.True(health.Usable(rested)) // readmitted on probation
	again := health.WithFailure("d", rested)
	is.True(again.Suspected(rested.Add(59 * time.Second))) // one failure, twice the rest
	is.True(!again.Suspected(rested.Add(61 * time.Second)))
	is.True(!health.WithSuccess().WithFailure("d", rested).Suspected(rested))
}

func TestSilence(t *testing.T) {
	is := is.New(t)
	health := chutehealth.Health{}
	is.True(health.Silent(now)) // nothing reported yet
	health = health.WithReport(now)
	is.True(!health.Silent(now.Add(chutehealth.SilenceLimit)))
	is.True(health.Silent(now.Add(chutehealth.SilenceLimit + time.Millisecond)))
	is.Equal(health.WithReport(now.Add(-time.Second)), health) // an older poll changes nothing
}
