package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["row"] = playRow }

const (
	// powerLoss is how long a zone is without power.
	powerLoss = 1500 * time.Millisecond
	// standingTime is how long a job may have nothing running though there is capacity for it.
	standingTime = 3 * time.Second
	// finishTime is how long after the end of the traffic that is checked (finish_s of the settings).
	finishTime = 14 * time.Second
)

// playRow runs a large job in one zone while the two others are in use. The zone loses power once. When the other zones become
// free, the rest of the job starts there. Then two small jobs are handed in.
func playRow(s *Scene) error {
	const blocker, large = "00000000000000c0", "00000000000000c1"
	s.Fleet.IDFormat = "i-%017x"
	s.hostZone = func(number int) string { return fmt.Sprintf("z-%d", number%3) }
	if err := s.Open(24, 3); err != nil {
		return err
	}
	lost := s.arrangeZones()
	time.Sleep(2 * time.Second)
	body := Job(Spec{WorkMS: 14000, GPU: 8, CPU: 128000}, 16, map[string]any{"required_label": "b"})
	if status, _ := s.Hosts[0].Call("POST", "/normal/"+blocker, body, 3*time.Second); status != 200 {
		return fmt.Errorf("the job was not accepted: %d", status)
	}
	if err := s.Await(5*time.Second, "zones z-1 and z-2 are in use", func() bool { return s.AtWork(blocker) == 16 }); err != nil {
		return err
	}
	body = Job(Spec{WorkMS: 300000, CPU: 2000}, 1258, map[string]any{"mem_mb": 100})
	if status, _ := s.Hosts[0].Call("POST", "/normal/"+large, body, 3*time.Second); status != 200 {
		return fmt.Errorf("the large job was not accepted: %d", status)
	}
	if err := s.Await(10*time.Second, "zone z-0 is in use", func() bool { return s.AtWork(large) == 512 }); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if s.Trouble {
		s.loseZone(lost)
		if err := s.Await(8*time.Second, "zone z-0 is in use again", func() bool { return s.AtWork(large) >= 500 }); err != nil {
			return err
		}
	}
	if err := s.Await(20*time.Second, "zones z-1 and z-2 are free", func() bool { return s.AtWork(blocker) == 0 }); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	small := Job(Spec{WorkMS: 1000, CPU: 1000}, 2, nil)
	ids := []string{"00000000000000d1", "00000000000000d2"}
	for i, id := range ids {
		if err := s.Await(12*time.Second, "job "+id+" is accepted", func() bool {
			status, _ := s.Hosts[1+i].Call("POST", "/normal/"+id, small, 3*time.Second)
			return status == 200
		}); err != nil {
			return err
		}
	}
	s.Printf("-- end of the traffic")
	time.Sleep(finishTime)
	s.watchStanding(ids, 2, 1000, 15*time.Second)
	for _, id := range append(ids, large) {
		s.Hosts[1].Call("GET", "/normal/"+id, nil, 3*time.Second)
	}
	s.Printf("-- at work: %d tasks of the large job", s.AtWork(large))
	return nil
}

// arrangeZones puts a third of the workers in each zone, with the kind a in z-0 and b in the others, and returns those of z-0.
func (s *Scene) arrangeZones() []*Worker {
	var first []*Worker
	s.Fleet.mutex.Lock()
	defer s.Fleet.mutex.Unlock()
	for i, w := range s.Fleet.workers {
		w.Zone, w.Kind = fmt.Sprintf("z-%d", i%3), "b"
		if i%3 == 0 {
			w.Kind = "a"
			first = append(first, w)
		}
		w.heartbeat()
	}
	return first
}

// loseZone takes the power of the workers and of the hosts in zone z-0 for a while.
func (s *Scene) loseZone(workers []*Worker) {
	s.Printf("-- zone z-0 loses power for %s", powerLoss)
	var hosts []*Host
	for _, h := range s.Hosts {
		if h.Zone == "z-0" {
			h.Signal(syscall.SIGKILL)
			<-h.exited
			hosts = append(hosts, h)
		}
	}
	s.Fleet.LosePower(workers, powerLoss)
	for _, h := range hosts {
		h.Start()
	}
}

// watchStanding applies LOST to accepted jobs of one step with so many tasks: nothing of one runs for a while, though there is
// capacity for it twice over and under half of the capacity of the service is in use.
func (s *Scene) watchStanding(jobs []string, tasks, cpu int, d time.Duration) {
	since := make(map[string]time.Duration)
	for end := s.Now() + d; s.Now() < end; time.Sleep(20 * time.Millisecond) {
		room, used, all := s.capacity(cpu)
		for _, id := range jobs {
			if since[id] < 0 {
				continue
			}
			if s.AtWork(id) > 0 || s.done(id) == tasks || room < 2*tasks || 2*used >= all {
				since[id] = 0
				continue
			}
			if since[id] == 0 {
				since[id] = s.Now()
			}
			if s.Now()-since[id] >= standingTime {
				s.Break("LOST: job %s has nothing running for %s, %d of %d cores are in use and %d of its tasks would fit", id, standingTime, used/1000, all/1000, room)
				since[id] = -1
			}
		}
	}
}

// capacity returns how many tasks of the given need would fit on the workers, and how much of their processors is in use.
func (s *Scene) capacity(cpu int) (room, used, all int) {
	s.Fleet.mutex.Lock()
	defer s.Fleet.mutex.Unlock()
	for _, w := range s.Fleet.workers {
		free := w.CPU
		for _, r := range w.running {
			free -= max(1000, r.Spec.CPU)
		}
		if w.gone || w.state != "ready" {
			continue
		}
		room += max(0, free/cpu)
		used += w.CPU - free
		all += w.CPU
	}
	return room, used, all
}

// done returns how many tasks of the job have ended as done.
func (s *Scene) done(job string) int {
	s.Fleet.mutex.Lock()
	defer s.Fleet.mutex.Unlock()
	done := make(map[string]bool)
	for _, r := range s.Fleet.Runs {
		if r.Task[:16] == job && r.How == "done" {
			done[r.Task] = true
		}
	}
	return len(done)
}
