package chutemembership

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// contactTimeout is how long after its takeover a scheduler waits for the first answers of workers.
	contactTimeout = time.Second
	// machineListInterval is the shortest time between two requests for the list of machines while workers are silent.
	machineListInterval = 500 * time.Millisecond
)

// Silent reports whether a worker with runs does not answer, so that it may have ended.
func Silent(t *chuterunner.Transition, w chutepool.Worker) bool {
	if w.RunCount() == 0 {
		return false
	}
	return w.MissedRenewals > 0 || !w.Contacted && t.Now.Sub(t.LeaderSince) >= contactTimeout
}

// MachineLists is the immutable state of the search for workers that have ended: silent ones that the platform has no machine for.
type MachineLists struct {
	requestedAt time.Time
	pending     bool                       // the latest request has no answer yet
	former      chuteaction.MachinesListed // the list that later ones are compared with; zero before there is one
}

// Tick requests the list of machines while any of the workers is silent.
func (l MachineLists) Tick(t *chuterunner.Transition, workers []chutepool.Worker) MachineLists {
	anySilent := slices.ContainsFunc(workers, func(w chutepool.Worker) bool { return Silent(t, w) })
	switch {
	case !anySilent:
		l.former = chuteaction.MachinesListed{}
	case !l.pending && t.Now.Sub(l.requestedAt) >= machineListInterval:
		l.pending, l.requestedAt = true, t.Now
		t.Emit(chuteaction.ListMachines{})
		requestWitness(t)
	}
	return l
}

// requestWitness requests a report of a worker that answers, which speaks for the list or against it. Idle workers are not asked
// otherwise.
func requestWitness(t *chuterunner.Transition) {
	for _, w := range t.Pool.All() {
		if w.Listed && w.Contacted && w.MissedRenewals == 0 && !w.Renewing {
			w.ReportDue = true
			t.PutWorker(w)
			return
		}
	}
}

// HandleMachinesListed ends the silent workers that two lists have no machine for. The former list must name all workers that have
// shown since that they live, as one that leaves out any of them is old or incomplete.
func (l MachineLists) HandleMachinesListed(t *chuterunner.Transition, e chuteaction.MachinesListed) MachineLists {
	l.pending = false
	if !e.Answered {
		return l
	}
	before, now := workersOn(l.former.Machines), workersOn(e.Machines)
	switch {
	case !l.former.Answered:
	case !namesLivingWorkers(t, l.former.SentAt, before):
		t.Count("machine-list-dropped", "worker-missing")
	case !anyLives(t, l.former.SentAt):
		return l // nothing speaks for the former list yet
	default:
		endWorkersWithoutMachine(t, l.former.SentAt, before, now)
	}
	l.former = e
	return l
}

// endWorkersWithoutMachine ends the workers that have been silent since before the former list and that neither list names.
func endWorkersWithoutMachine(t *chuterunner.Transition, formerAt time.Time, before, now map[chutetask.WorkerID]bool) {
	for _, w := range t.Pool.All() {
		if Silent(t, w) && !before[w.ID] && !now[w.ID] && w.AnsweredAt.Before(formerAt) {
			t.MarkGone(w.ID)
		}
	}
}

// workersOn returns the workers that are on the machines. One that is known to be down or in transition has none.
func workersOn(machines []chutemaintenance.Machine) map[chutetask.WorkerID]bool {
	workers := make(map[chutetask.WorkerID]bool, len(machines))
	for _, m := range machines {
		if m.State != chutemaintenance.MachineMoving && m.State != chutemaintenance.MachineMaintained && m.State != chutemaintenance.MachineDown {
			workers[m.Worker] = true
		}
	}
	return workers
}

// namesLivingWorkers reports whether a list that was requested at the time names each worker that was there then and has shown
// since that it lives.
func namesLivingWorkers(t *chuterunner.Transition, requestedAt time.Time, listed map[chutetask.WorkerID]bool) bool {
	for _, w := range t.Pool.All() {
		if livedThroughout(t, w, requestedAt) && !listed[w.ID] {
			return false
		}
	}
	return true
}

// anyLives reports whether any worker that was there at the time has shown since that it lives.
func anyLives(t *chuterunner.Transition, since time.Time) bool {
	return slices.ContainsFunc(t.Pool.All(), func(w chutepool.Worker) bool { return livedThroughout(t, w, since) })
}

// livedThroughout reports whether the worker was known at the time, has shown since that it lives, and has not restarted.
func livedThroughout(t *chuterunner.Transition, w chutepool.Worker, since time.Time) bool {
	if !w.Contacted || w.KnownSince.After(since) || w.RestartFoundAt.After(since) || w.RestartSeen {
		return false
	}
	clock := t.Environment.StoreClock
	return w.AnsweredAt.After(since) || clock.Known() && w.HeartbeatAfter > clock.Latest(since)
}
