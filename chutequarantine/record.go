package chutequarantine

const (
	// maxCrashes is the number of crashes under a task after which its next run is quarantined.
	maxCrashes = 2
	// maxQuarantinedCrashes is the number of crashes under quarantined runs of a task after which it is given up. Any other
	// crash may be the fault of a neighbour, and a single one that of the worker or its zone.
	maxQuarantinedCrashes = 2
)

// Record counts the runs of a task during which their worker crashed. A gang has one record for all its members.
type Record struct {
	Crashes     int // runs during which a worker crashed
	Quarantined int // of them, quarantined runs: their workers ran nothing of another job
	LastRun     int // highest number of these runs
}

// WithCrash returns the record after a worker crashed during the run with the number. A run counts once, however many
// workers of a gang crash during it.
func (r Record) WithCrash(run int, quarantined bool) Record {
	if run <= r.LastRun {
		return r
	}
	r.LastRun = run
	r.Crashes++
	if quarantined {
		r.Quarantined++
	}
	return r
}

// WithoutCrash returns the record after the worker that seemed to have crashed during a run has answered again.
func (r Record) WithoutCrash(quarantined bool) Record {
	r.Crashes = max(0, r.Crashes-1)
	if quarantined {
		r.Quarantined = max(0, r.Quarantined-1)
	}
	return r
}

// NeedsQuarantine reports whether the task's next run must have its worker to itself.
func (r Record) NeedsQuarantine() bool {
	return r.Crashes >= maxCrashes
}

// GivenUp reports whether the task is taken to crash each worker that runs it.
func (r Record) GivenUp() bool {
	return r.Quarantined >= maxQuarantinedCrashes
}
