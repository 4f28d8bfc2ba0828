package chutedaemon

import (
	"context"
	"sync"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// waitingStarts are the runs whose start orders wait on this host to be sent. A stop order withdraws the start of its run.
type waitingStarts struct {
	mutex sync.Mutex
	runs  map[chutegraph.RunID]bool
}

func newWaitingStarts() *waitingStarts {
	return &waitingStarts{runs: make(map[chutegraph.RunID]bool)}
}

func (s *waitingStarts) add(run chutegraph.RunID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[run] = true
}

// remove ends the wait of a run's start order, which is sent or withdrawn, and reports whether it still waited.
func (s *waitingStarts) remove(run chutegraph.RunID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	waits := s.runs[run]
	delete(s.runs, run)
	return waits
}

// dispatchStart passes a start order to the duties for start orders.
func (d *Daemon) dispatchStart(order chuteaction.StartRun) {
	d.starts.add(order.Run)
	if !d.startRing.Offer(order) {
		d.starts.remove(order.Run)
		d.refuseOrder(order, "ring-full")
	}
}

// startRun sends a start order unless it was withdrawn or it is too late for it.
func (d *Daemon) startRun(ctx context.Context, order chuteaction.StartRun) chuteaction.Event {
	if !d.starts.remove(order.Run) || passed(order.SendBefore) {
		return notSent(order)
	}
	return d.workers.Start(ctx, order)
}
