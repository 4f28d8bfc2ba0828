package main

import "time"

func init() { cases["wave-changed"] = playWaveChanged }

// playWaveChanged asks for the upkeep of two machines, and a second later for that of a third one in the same wave.
func playWaveChanged(s *Scene) error {
	machines := []string{"m-0001", "m-0002", "m-0003"}
	begun := make(map[string]bool)
	s.Cloud.OnUpkeep = func(machine string, _ int) { begun[machine] = true }
	if err := s.Open(8, 2); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // a new leader gives no orders about machines for 4 s
	ask := func(machines []string) {
		s.Printf("operator: op/wave/1 asks for the upkeep of %v, max_count 1", machines)
		s.Store.Put("op", "wave/1", map[string]any{"wave": 1, "machines": machines, "finish_by_s": 60, "max_count": 1})
	}
	if s.Trouble {
		ask(machines[:2])
		time.Sleep(time.Second)
	}
	ask(machines)
	if err := s.Await(60*time.Second, "the wave is completed", func() bool { return string(s.Store.Value("status", "wave/1")) == `{"state":"completed"}` }); err != nil {
		return err
	}
	s.Cloud.mutex.Lock()
	defer s.Cloud.mutex.Unlock()
	for _, m := range machines {
		if !begun[m] {
			s.Break("MIXED: wave 1 is said to be completed, and %s, which stays, hasn't begun its upkeep", m)
		}
	}
	return nil
}
