package chutedaemon

import (
	"context"
	"sync"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// waitingStarts are the runs whose start orders wait on this host to be sent, with the time since which they wait. A stop
// order withdraws the start of its run.
type waitingStarts struct {
	mutex sync.Mutex
	runs  map[chutegraph.RunID]time.Time
}

func newWaitingStarts() *waitingStarts {
	return &waitingStarts{runs: make(map[chutegraph.RunID]time.Time)}
}

func (s *waitingStarts) add(run chutegraph.RunID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[run] = time.Now()
}

// remove ends the wait of a run's start order, which is sent or withdrawn, and returns since when it has waited, or false
// if it no longer waited.
func (s *waitingStarts) remove(run chutegraph.RunID) (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	since, waits := s.runs[run]
	delete(s.runs, run)
	return since, waits
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
	since, waits := d.starts.remove(order.Run)
	if !waits {
		return d.giveBack(order, "withdrawn")
	}
	d.metrics.ObserveKind("order-wait", orderKind(order), time.Since(since))
	if passed(order.SendBefore) {
		return d.giveBack(order, "late")
	}
	return d.workers.Start(ctx, order)
}
