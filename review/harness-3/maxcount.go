package main

import (
	"fmt"
	"time"
)

func init() { cases["max-count"] = playMaxCount }

// playMaxCount asks for the upkeep of six idle machines, one at a time, while the service of machines is slow.
func playMaxCount(s *Scene) error {
	const maxCount = 1
	machines := []string{"m-0001", "m-0002", "m-0003", "m-0004", "m-0005", "m-0006"}
	s.Cloud.PageSize = 4
	s.Cloud.OnUpkeep = func(machine string, wave int) {
		if down := s.Cloud.downCount(); down >= maxCount {
			s.Break("LIMIT: the upkeep of %s (wave %d) begins while %d machines of its wave are down for theirs; max_count is %d", machine, wave, down, maxCount)
		}
	}
	if err := s.Open(24, 2); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // a new leader gives no orders about machines for 4 s
	if s.Trouble {
		s.Printf("-- the service of machines takes %s for an answer", slowAnswer)
		s.Cloud.SetLatency(slowAnswer)
	}
	s.Printf("operator: op/wave/1 asks for the upkeep of %v, max_count %d", machines, maxCount)
	s.Store.Put("op", "wave/1", map[string]any{"wave": 1, "machines": machines, "finish_by_s": 60, "max_count": maxCount})
	if err := s.Await(60*time.Second, "the wave is completed", func() bool { return string(s.Store.Value("status", "wave/1")) == `{"state":"completed"}` }); err != nil {
		s.Printf("-- %v", err)
	}
	for _, u := range s.Cloud.Upkeeps {
		fmt.Printf("%.2f %s begins: %t\n", u.At.Seconds(), u.Machine, u.Begun)
	}
	return nil
}

// slowAnswer is 50 times the usual time of an answer.
const slowAnswer = 200 * time.Millisecond
