package chuterunner

import "monsoonchute.example/monsoonchute/chutecrash"

// JudgeCrashes confirms the crashes of workers that have been silent for long, finds those that workers had together, and
// gives up the jobs of tasks that crash their workers.
func (t *Transition) JudgeCrashes() {
	chutecrash.Confirm(t.Transition)
	chutecrash.Judge(t.Transition)
	t.stopGivenUp()
}

// stopGivenUp stops the runs of the jobs that have been given up.
func (t *Transition) stopGivenUp() {
	jobs := t.GivenUp
	t.GivenUp = nil
	for _, j := range jobs {
		t.StopJob(j, "job-failed")
	}
}
