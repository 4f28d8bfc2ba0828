package chutespeed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutespeed"
	"monsoonchute.example/monsoonchute/chutetask"
)

// addReadings adds readings of a step that has one task on each worker, one second apart. The workers have the given
// speeds.
func addReadings(s chutespeed.Speeds, job string, now time.Time, readings int, speeds ...float64) (chutespeed.Speeds, time.Time) {
	step := chutegraph.StepID{Job: chutegraph.JobID(job)}
	for range readings {
		now = now.Add(time.Second)
		for i, speed := range speeds {
			s = s.WithProgress(step, worker(i), 12*speed, time.Second, now)
		}
	}
	return s, now
}

func worker(i int) chutetask.WorkerID {
	return chutetask.WorkerID(fmt.Sprintf("worker-%d", i))
}

func TestSlowWorkerIsDetectedUntilEstimateDecays(t *testing.T) {
	is := is.New(t)
	s, now := addReadings(chutespeed.New(), "a", time.Unix(0, 0), 2, 1, 1, 1, 1)
	for i := range 4 {
		is.True(!s.Slow(worker(i), now))
	}
	s, now = addReadings(s, "a", now, 1, 1, 1, 1, 0.15)
	is.True(!s.Slow(worker(0), now))
	is.True(s.Slow(worker(3), now))
	is.True(!s.Slow(worker(3), now.Add(15*time.Second))) // without further readings
}

func TestWorkerWithoutProgressIsSlow(t *testing.T) {
	is := is.New(t)
	s, now := addReadings(chutespeed.New(), "a", time.Unix(0, 0), 1, 1, 1, 1)
	s, now = addReadings(s, "a", now, 1, 1, 0, 1)
	is.True(s.Slow(worker(1), now))
	is.True(!s.Slow(worker(0), now))
}

func TestLongTermDifferencesAreLearned(t *testing.T) {
	is := is.New(t)
	s, now := chutespeed.New(), time.Unix(0, 0)
	for n := range 20 {
		s, now = addReadings(s, fmt.Sprint(n), now, 3, 0.8, 1, 1.25)
	}
	now = now.Add(time.Minute)
	is.True(s.Speed(worker(0), now) < s.Speed(worker(1), now))
	is.True(s.Speed(worker(1), now) < s.Speed(worker(2), now))
}
