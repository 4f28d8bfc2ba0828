package main

import (
	"fmt"
	"time"
)

// noticeTime is notice_ms of the settings.
const noticeTime = 4500 * time.Millisecond

func init() { cases["avail"] = playAvail }

// playAvail runs a job whose step lasts and of which one task may be missing, and asks for the upkeep of one machine.
func playAvail(s *Scene) error {
	const job, tasks = "00000000000000a1", 12
	orderedAway := make(map[string]bool) // tasks that an order has ended and that are not back at work
	s.Fleet.OnEnd = func(r *Run) { checkAvail(s, r, orderedAway) }
	if err := s.Open(3, 2); err != nil {
		return err
	}
	body := Job(Spec{Lasting: true, StartupMS: 800, GPU: 1, MayMiss: 1}, tasks, nil)
	if status, _ := s.Hosts[0].Call("POST", "/normal/"+job, body, 3*time.Second); status != 200 {
		return fmt.Errorf("the job was not accepted: %d", status)
	}
	if err := s.Await(20*time.Second, "all tasks are at work", func() bool { return s.AtWork(job) == tasks }); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	machine, most := "", 0
	s.Fleet.mutex.Lock()
	for _, w := range s.Fleet.workers {
		if len(w.running) > most {
			machine, most = w.Machine, len(w.running)
		}
	}
	s.Fleet.mutex.Unlock()
	s.Printf("-- %d tasks of the step run on %s", most, machine)
	if s.Trouble {
		s.Printf("operator: op/wave/1 asks for the upkeep of %s, max_count 1", machine)
		s.Store.Put("op", "wave/1", map[string]any{"wave": 1, "machines": []string{machine}, "finish_by_s": 60, "max_count": 1})
	}
	time.Sleep(40 * time.Second)
	s.Printf("-- status/wave/1: %s", s.Store.Value("status", "wave/1"))
	return nil
}

// checkAvail applies AVAIL to a run that has ended. The fleet is locked.
func checkAvail(s *Scene, r *Run, orderedAway map[string]bool) {
	if !r.Spec.Lasting || r.AtWorkAt == 0 || r.How != "stopped" && r.How != "upkeep" {
		return
	}
	running := make(map[string]*Run)
	for _, w := range s.Fleet.workers {
		for _, other := range w.running {
			if other.step() == r.step() {
				running[other.Task] = other
			}
		}
	}
	away := 0
	last := make(map[string]time.Duration) // when each other task was last at work
	for _, other := range s.Fleet.Runs {
		if other.step() == r.step() && other.AtWorkAt > 0 {
			last[other.Task] = max(last[other.Task], other.Ended)
		}
	}
	for task, at := range last {
		if task == r.Task {
			continue
		}
		if o := running[task]; o != nil && o.AtWorkAt > 0 {
			delete(orderedAway, task)
			continue
		}
		if orderedAway[task] || s.Now()-at >= noticeTime {
			away++
		}
	}
	orderedAway[r.Task] = true
	s.Printf("-- %s/%d at work on %s was ended by an order (%s) while %d others of its step were away; may_miss %d", r.Task, r.Number, r.Worker, r.How, away, r.Spec.MayMiss)
	if away >= r.Spec.MayMiss {
		s.Break("AVAIL: %s/%d on %s ended by %s while %d others were away, may_miss is %d", r.Task, r.Number, r.Worker, r.How, away, r.Spec.MayMiss)
	}
}
