package chutequarantine

import (
	"slices"
	"time"
)

// Record is the immutable record of the crashes under a task. A gang has one record for all its members.
type Record struct {
	crashes     []Crash // never modified
	survivedRun int     // number of the latest quarantined run that outlived its probation
	survivals   int     // number of such runs
}

// NewRecord returns a record with the crashes and with the latest and the number of the runs that outlived a probation.
func NewRecord(crashes []Crash, survivedRun, survivals int) Record {
	return Record{crashes: crashes, survivedRun: survivedRun, survivals: survivals}
}

// Crashes returns the crashes in the order in which they were recorded.
func (r Record) Crashes() []Crash {
	return r.crashes
}

// Survivals returns the number of the latest run that outlived its probation, and how many did.
func (r Record) Survivals() (latest, count int) {
	return r.survivedRun, r.survivals
}

// Empty reports whether nothing is recorded.
func (r Record) Empty() bool {
	return len(r.crashes) == 0 && r.survivals == 0
}

// WithCrash returns the record with the crash. A crash of the same worker under the same run of a member counts once.
func (r Record) WithCrash(c Crash) Record {
	crashes := make([]Crash, 0, len(r.crashes)+1)
	for _, known := range r.crashes {
		if known.Run == c.Run && known.Worker == c.Worker && known.Member == c.Member {
			c = joined(known, c)
			continue
		}
		crashes = append(crashes, known)
	}
	crashes = append(crashes, c)
	r.crashes = latestRuns(crashes, c.Run)
	return r
}

// latestRuns returns the crashes under the runs up to the latest one that a record holds, with the first ones of each.
func latestRuns(crashes []Crash, latest int) []Crash {
	counts := make(map[int]int)
	return slices.DeleteFunc(crashes, func(c Crash) bool {
		counts[c.Run]++
		return c.Run <= latest-maxRecordedRuns || counts[c.Run] > maxRecordedOfRun
	})
}

// WithAnswer returns the record after an incarnation of the worker has answered: what was taken as its crash was none, and
// that of an earlier incarnation is confirmed.
func (r Record) WithAnswer(worker string, incarnation int64) Record {
	var crashes []Crash
	for _, c := range r.crashes {
		if c.Worker == worker && !c.Confirmed {
			if c.Incarnation == 0 || c.Incarnation >= incarnation {
				continue
			}
			c.Confirmed = true
		}
		crashes = append(crashes, c)
	}
	r.crashes = crashes
	return r
}

// WithoutCrash returns the record without the crash of the worker under a run of the member, as there was none.
func (r Record) WithoutCrash(run, member int, worker string) Record {
	r.crashes = slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool {
		return c.Run == run && c.Member == member && c.Worker == worker
	})
	return r
}

// WithoutExplained returns the record without the crashes that may have come by chance.
func (r Record) WithoutExplained() Record {
	r.crashes = slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool { return c.Chance > leastChance })
	return r
}

// WithTime returns the record at the given time: workers that have been silent for long are gone.
func (r Record) WithTime(now time.Time) Record {
	crashes := make([]Crash, len(r.crashes))
	for i, c := range r.crashes {
		c.Confirmed = c.Confirmed || now.Sub(c.At) >= goneAfter
		crashes[i] = c
	}
	r.crashes = crashes
	return r
}

// WithSurvival returns the record after the quarantined run with the number has outlived its probation.
func (r Record) WithSurvival(run int) Record {
	if run > r.survivedRun {
		r.survivedRun = run
		r.survivals++
	}
	return r
}

// Unconfirmed reports whether a crash of the worker is not confirmed.
func (r Record) Unconfirmed(worker string) bool {
	for _, c := range r.crashes {
		if c.Worker == worker && !c.Confirmed {
			return true
		}
	}
	return false
}

// Runs returns the number of runs during which a worker crashed.
func (r Record) Runs() int {
	return r.countRuns(func(c Crash) bool { return !c.Planned })
}

// Quarantined reports whether a worker crashed under the run while that had its worker to itself.
func (r Record) Quarantined(run int) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Run == run && c.Quarantined })
}

// HasEarlier reports whether a worker crashed under an earlier run.
func (r Record) HasEarlier(run int) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Run < run })
}

// Earlier returns the number of runs before the given one during which a worker crashed under the member, and how many of
// the crashes hardly came by chance.
func (r Record) Earlier(member, run int) (all, suspicious int) {
	earlier := func(c Crash) bool { return c.Member == member && c.Run < run && !c.Planned }
	return r.countRuns(earlier), r.countRuns(func(c Crash) bool { return earlier(c) && c.Chance <= leastChance })
}

// WithChance returns the record with the chance of the crash of the worker under a run of the member, and whether that is
// more than was known.
func (r Record) WithChance(run, member int, worker string, chance int) (Record, bool) {
	i := slices.IndexFunc(r.crashes, func(c Crash) bool {
		return c.Run == run && c.Member == member && c.Worker == worker && c.Chance < chance
	})
	if i < 0 {
		return r, false
	}
	r.crashes = slices.Clone(r.crashes)
	r.crashes[i].Chance = chance
	return r, true
}
