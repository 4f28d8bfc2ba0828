package main

import (
	"fmt"
	"time"
)

func init() { cases["lasting"] = playLasting }

const (
	// restTime is how long after its last run a task that lasts may be without one in any case.
	restTime = 6 * time.Second
	// calmTime is how long it has to be calm before the time in which nothing of it runs.
	calmTime = 4 * time.Second
)

// playLasting runs a step whose tasks last and need a kind of worker that only zone z-0 has, takes the power of that zone several
// times, and then leaves everything in peace.
func playLasting(s *Scene) error {
	const (
		job      = "00000000000000e1"
		tasks    = 4
		losses   = 4
		interval = 6 * time.Second
	)
	spec := Spec{Lasting: true, StartupMS: 500, GPU: 4, CPU: 20000}
	s.hostZone = func(number int) string { return fmt.Sprintf("z-%d", number%3) }
	if err := s.Open(12, 3); err != nil {
		return err
	}
	lost := s.arrangeZones()
	time.Sleep(2 * time.Second)
	if status, _ := s.Hosts[1].Call("POST", "/normal/"+job, Job(spec, tasks, map[string]any{"required_label": "a"}), 3*time.Second); status != 200 {
		return fmt.Errorf("the job was not accepted: %d", status)
	}
	for range losses {
		time.Sleep(interval)
		if s.Trouble {
			s.loseZone(lost)
		}
	}
	s.Printf("-- calm from now on")
	s.watchLasting(job, tasks, spec, s.Now(), 40*time.Second)
	s.Printf("-- at work: %d of %d tasks", s.AtWork(job), tasks)
	return nil
}

// watchLasting applies the part of LOST for tasks that last: none may be without a run for a while, counted from restTime after
// its last run and from calmTime after the last disruption, though there is capacity for it twice over.
func (s *Scene) watchLasting(job string, tasks int, spec Spec, calmSince, d time.Duration) {
	since := make(map[string]time.Duration)
	for end := s.Now() + d; s.Now() < end; time.Sleep(20 * time.Millisecond) {
		room := s.roomFor(spec, "a")
		for i := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", job, i)
			runs, last := s.lastRun(task)
			if since[task] < 0 {
				continue
			}
			if runs || room < 2 || s.Now()-calmSince < calmTime || s.Now()-last < restTime {
				since[task] = 0
				continue
			}
			if since[task] == 0 {
				since[task] = s.Now()
			}
			if s.Now()-since[task] >= standingTime {
				s.Break("LOST: %s, which lasts, has no run for %s; its last run ended %.1f s ago, it has been calm for %.1f s, and it would fit %d times",
					task, standingTime, (s.Now() - last).Seconds(), (s.Now() - calmSince).Seconds(), room)
				since[task] = -1
			}
		}
	}
}

// lastRun reports whether the task has a run, and when its latest one has ended.
func (s *Scene) lastRun(task string) (runs bool, ended time.Duration) {
	s.Fleet.mutex.Lock()
	defer s.Fleet.mutex.Unlock()
	for _, r := range s.Fleet.Runs {
		if r.Task == task {
			runs = runs || r.Ended == 0
			ended = max(ended, r.Ended)
		}
	}
	return runs, ended
}

// roomFor returns how many tasks of the step would fit on workers of the kind.
func (s *Scene) roomFor(spec Spec, kind string) int {
	s.Fleet.mutex.Lock()
	defer s.Fleet.mutex.Unlock()
	room := 0
	for _, w := range s.Fleet.workers {
		cpu, gpu := w.CPU, w.GPU
		for _, r := range w.running {
			cpu -= r.Spec.CPU
			gpu -= r.Spec.GPU
		}
		if !w.gone && w.state == "ready" && w.Kind == kind {
			room += max(0, min(cpu/spec.CPU, gpu/spec.GPU))
		}
	}
	return room
}
