package main

import (
	"fmt"
	"time"
)

func init() { cases["advice"] = playAdvice }

// playAdvice hands in jobs of a queue whose policy service needs about a second for a call: one after the other, or many at once.
func playAdvice(s *Scene) error {
	const jobs, tasks = 10, 2
	if err := s.Open(48, 2); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("00000000000000a%x", i)
		if status, _ := s.Hosts[i%2].Call("POST", "/advised/"+id, Job(Spec{WorkMS: 1000, CPU: 1000}, tasks, nil), 3*time.Second); status != 200 {
			return fmt.Errorf("job %d was not accepted: %d", i, status)
		}
		ids = append(ids, id)
		if s.Trouble {
			time.Sleep(250 * time.Millisecond)
			continue
		}
		if err := s.Await(20*time.Second, "job "+id+" is done", func() bool { return s.done(id) == tasks }); err != nil {
			return err
		}
	}
	s.Printf("-- end of the traffic")
	time.Sleep(finishTime)
	s.watchStanding(ids, tasks, 1000, 20*time.Second)
	for _, id := range ids {
		s.Hosts[0].Call("GET", "/advised/"+id, nil, 3*time.Second)
	}
	return nil
}
