package chuteoutlier

import (
	"cmp"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Verdict is what the record of a worker means for its new runs: Admitted, Limited or Held.
//
//sumtype:decl
type Verdict interface{ sealedVerdict() }

// Admitted lets any number of runs start.
type Admitted struct{}

// Limited lets so many more runs start now. They show whether the worker has recovered.
type Limited struct {
	Starts int // at least 1
	Cause  Cause
}

// Held lets no run start.
type Held struct {
	Cause Cause
}

func (Admitted) sealedVerdict() {}
func (Limited) sealedVerdict()  {}
func (Held) sealedVerdict()     {}

// judge returns the verdict on the worker by its record alone. The runs that began since it came into doubt count towards its
// limit.
func (r Record) judge(w chutepool.Worker, now time.Time) Verdict {
	trust := r.Trust(now)
	switch {
	case trust >= fullTrust:
		return Admitted{}
	case now.Before(r.heldUntil):
		return Held{Cause: r.cause}
	}
	starts := 1 << max(0, trust-1)
	for _, run := range w.Runs() {
		if run.StartedAt.IsZero() || run.StartedAt.After(r.doubtSince) {
			starts--
		}
	}
	if starts <= 0 {
		return Held{Cause: r.cause}
	}
	return Limited{Starts: starts, Cause: r.cause}
}

// Verdicts are the verdicts on the workers that may not get any number of new runs.
type Verdicts map[chutetask.WorkerID]Verdict

// Of returns the verdict on the worker.
func (v Verdicts) Of(worker chutetask.WorkerID) Verdict {
	if verdict, ok := v[worker]; ok {
		return verdict
	}
	return Admitted{}
}

// Withhold reports whether no run may start on the worker.
func (v Verdicts) Withhold(worker chutetask.WorkerID) bool {
	_, held := v[worker].(Held)
	return held
}

// doubted is a worker from which new runs are withheld wholly or in part.
type doubted struct {
	worker  chutepool.Worker
	record  Record
	verdict Verdict
}

// Judge returns the verdicts on the listed workers. New runs are withheld from at most half of the workers of a service, those
// that are trusted least, and of those the latest to be doubted. Where most workers of a rack or zone are doubted, the cause lies
// there and not with them.
func (s Records) Judge(workers []chutepool.Worker, now time.Time) Verdicts {
	listed := newCensus()
	suspect := newCensus()
	byService := make(map[string][]doubted)
	for _, w := range workers {
		if !w.Listed {
			continue
		}
		listed.add(w)
		r, ok := s.workers.Get(w.ID)
		if !ok {
			continue
		}
		switch verdict := r.judge(w, now).(type) {
		case Admitted:
		case Limited, Held:
			suspect.add(w)
			byService[w.Service] = append(byService[w.Service], doubted{worker: w, record: r, verdict: verdict})
		}
	}
	verdicts := make(Verdicts)
	for service, list := range byService {
		list = slices.DeleteFunc(list, func(d doubted) bool { return suspect.mostOf(listed, d.worker) })
		slices.SortStableFunc(list, func(a, b doubted) int {
			return cmp.Or(cmp.Compare(a.record.Trust(now), b.record.Trust(now)), b.record.evidenceAt.Compare(a.record.evidenceAt))
		})
		for _, d := range list[:min(len(list), listed.services[service]/withheldShare)] {
			verdicts[d.worker.ID] = d.verdict
		}
	}
	return verdicts
}

const (
	// withheldShare is the number of workers of a service for each that new runs may be withheld from.
	withheldShare = 2
	// minPlace is the least number of workers of a rack or zone that may have a cause in common. Of a smaller one, all may
	// differ by themselves.
	minPlace = 4
	// commonShare is the share of the workers of a rack or zone from which the cause is common to them.
	commonShare = 0.9
)

// census counts workers by service, rack and zone.
type census struct {
	services, racks, zones map[string]int
}

func newCensus() census {
	return census{services: make(map[string]int), racks: make(map[string]int), zones: make(map[string]int)}
}

func (c census) add(w chutepool.Worker) {
	c.services[w.Service]++
	c.racks[w.Rack]++
	c.zones[w.Zone]++
}

// mostOf reports whether most of all workers of the worker's rack or zone are among those counted.
func (c census) mostOf(all census, w chutepool.Worker) bool {
	most := func(part, whole int) bool { return whole >= minPlace && float64(part) >= commonShare*float64(whole) }
	return w.Rack != "" && most(c.racks[w.Rack], all.racks[w.Rack]) || w.Zone != "" && most(c.zones[w.Zone], all.zones[w.Zone])
}
