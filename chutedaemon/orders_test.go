package chutedaemon

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutemetric"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetask"
)

// sentOrder is an order that reached a worker.
type sentOrder struct {
	order chuteaction.OrderEffect
	at    time.Time
}

// someSilentWorkers answer at once, except those named silent, which never answer.
type someSilentWorkers struct {
	silent map[chutetask.WorkerID]bool
	mutex  sync.Mutex
	sent   []sentOrder
}

// send records the order and reports whether its worker answers; if not, it returns after the timeout.
func (w *someSilentWorkers) send(order chuteaction.OrderEffect, worker chutetask.WorkerID, timeout time.Duration) chuteaction.OrderOutcome {
	w.mutex.Lock()
	w.sent = append(w.sent, sentOrder{order: order, at: time.Now()})
	w.mutex.Unlock()
	if !w.silent[worker] {
		return chuteaction.OrderAccepted
	}
	time.Sleep(timeout)
	return chuteaction.OrderUnknown
}

func (w *someSilentWorkers) Start(_ context.Context, o chuteaction.StartRun) chuteaction.RunStarted {
	return chuteaction.RunStarted{Worker: o.Worker, Run: o.Run, Outcome: w.send(o, o.Worker, o.Timeout)}
}

func (w *someSilentWorkers) Stop(_ context.Context, o chuteaction.StopRun) chuteaction.RunStopped {
	return chuteaction.RunStopped{Worker: o.Worker, Run: o.Run, Outcome: w.send(o, o.Worker, silentTimeout)}
}

func (w *someSilentWorkers) Renew(_ context.Context, o chuteaction.RenewLease) chuteaction.LeaseRenewed {
	return chuteaction.LeaseRenewed{Worker: o.Worker, Outcome: w.send(o, o.Worker, o.PollTimeout+silentTimeout)}
}

func (w *someSilentWorkers) Pace(_ context.Context, o chuteaction.PaceRun) error {
	w.send(o, o.Worker, silentTimeout)
	return nil
}

func (w *someSilentWorkers) Approve(context.Context, chuteaction.RequestApproval) chuteaction.StepApproved {
	return chuteaction.StepApproved{}
}

func (w *someSilentWorkers) Disconnect(chutetask.WorkerID) {}

// sentTo returns the orders that were sent to the worker.
func (w *someSilentWorkers) sentTo(worker chutetask.WorkerID) []sentOrder {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var sent []sentOrder
	for _, s := range w.sent {
		switch o := s.order.(type) {
		case chuteaction.StartRun:
			if o.Worker == worker {
				sent = append(sent, s)
			}
		case chuteaction.StopRun:
			if o.Worker == worker {
				sent = append(sent, s)
			}
		case chuteaction.RenewLease:
			if o.Worker == worker {
				sent = append(sent, s)
			}
		case chuteaction.PaceRun, chuteaction.RequestApproval, chuteaction.ListMachines, chuteaction.MaintainMachine:
		}
	}
	return sent
}

const (
	silentTimeout = 700 * time.Millisecond
	startDelay    = 400 * time.Millisecond
	silentWorkers = 162 // three tenths of 540
)

// newOrderDaemon returns a daemon that has only the duties for orders.
func newOrderDaemon(workers Workers) (*Daemon, func()) {
	log := slog.New(slog.DiscardHandler)
	group, endDuties := chuteduty.New(log)
	metrics, endMetrics := chutemetric.New()
	d := &Daemon{events: chutering.NewEntryEvents("core", eventRingSize), workers: workers, metrics: metrics, log: log, group: group}
	d.startOrderDuties()
	return d, func() {
		endDuties()
		endMetrics()
	}
}

func silentNames() map[chutetask.WorkerID]bool {
	silent := make(map[chutetask.WorkerID]bool)
	for i := range silentWorkers {
		silent[silentName(i)] = true
	}
	return silent
}

func silentName(i int) chutetask.WorkerID {
	return chutetask.WorkerID(fmt.Sprintf("silent-%d", i))
}

func startOf(worker chutetask.WorkerID, index int) chuteaction.StartRun {
	return chuteaction.StartRun{
		WorkerTarget: chuteaction.WorkerTarget{Worker: worker, Epoch: 1}, Timeout: silentTimeout, SendBefore: time.Now().Add(startDelay),
		Run: chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: chutegraph.JobID(worker)}, Index: index}, Number: 1},
	}
}

// dispatchSilentStarts orders the starts of count runs on each silent worker.
func dispatchSilentStarts(d *Daemon, count int) {
	for i := range silentWorkers {
		for k := range count {
			d.dispatch(startOf(silentName(i), k))
		}
	}
}

// takeStarted returns the outcomes of the worker's start orders among the events so far.
func takeStarted(d *Daemon, worker chutetask.WorkerID) map[chutegraph.RunID]chuteaction.OrderOutcome {
	outcomes := make(map[chutegraph.RunID]chuteaction.OrderOutcome)
	for range d.events.Stats().Depth {
		event, _ := d.events.Take(context.Background())
		if started, ok := event.(chuteaction.RunStarted); ok && started.Worker == worker {
			outcomes[started.Run] = started.Outcome
		}
	}
	return outcomes
}

func TestAStartOrderThatWaitedTooLongIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		workers := &someSilentWorkers{silent: silentNames()}
		d, cleanUp := newOrderDaemon(workers)
		defer cleanUp()
		dispatchSilentStarts(d, 8)
		prompt := startOf("prompt", 0)
		d.dispatch(prompt)
		time.Sleep(20 * time.Second)
		for i := range silentWorkers {
			for _, s := range workers.sentTo(silentName(i)) {
				is.True(!s.at.After(s.order.(chuteaction.StartRun).SendBefore)) // sent in time
			}
		}
		outcomes := takeStarted(d, "prompt")
		is.Equal(len(outcomes), 1)
		is.Equal(outcomes[prompt.Run] == chuteaction.OrderNotSent, len(workers.sentTo("prompt")) == 0)
	})
}

func TestAnOrderThatFindsItsRingFullSaysNothingAboutItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, cleanUp := newOrderDaemon(&someSilentWorkers{silent: silentNames()})
		defer cleanUp()
		for range 2 * startRingSize {
			d.dispatch(startOf(silentName(0), 0))
		}
		is.True(len(d.failures) > 0)
		for _, failure := range d.failures {
			is.Equal(failure.(chuteaction.RunStarted).Outcome, chuteaction.OrderNotSent)
		}
	})
}

func TestAStopWithdrawsTheWaitingStartOfItsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		workers := &someSilentWorkers{silent: silentNames()}
		d, cleanUp := newOrderDaemon(workers)
		defer cleanUp()
		dispatchSilentStarts(d, 8)
		withdrawn, kept := startOf("prompt", 0), startOf("prompt", 1)
		withdrawn.SendBefore, kept.SendBefore = time.Now().Add(time.Hour), time.Now().Add(time.Hour)
		d.dispatch(withdrawn)
		d.dispatch(kept)
		d.dispatch(chuteaction.StopRun{WorkerTarget: withdrawn.WorkerTarget, Run: withdrawn.Run})
		time.Sleep(time.Minute)
		for _, s := range workers.sentTo("prompt") {
			started, ok := s.order.(chuteaction.StartRun)
			is.True(!ok || started.Run != withdrawn.Run)
		}
		outcomes := takeStarted(d, "prompt")
		is.Equal(outcomes[withdrawn.Run], chuteaction.OrderNotSent)
		is.Equal(outcomes[kept.Run], chuteaction.OrderAccepted)
	})
}

// promptName returns the name of one of the workers that answer at once.
func promptName(i int) chutetask.WorkerID {
	return chutetask.WorkerID(fmt.Sprintf("prompt-%d", i))
}

func TestWorkersThatDoNotAnswerDelayNoRenewalsAndStopsOfOthers(t *testing.T) {
	const (
		promptWorkers = 540 - silentWorkers
		runs          = 8 // of each worker
		maxDelay      = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		workers := &someSilentWorkers{silent: silentNames()}
		d, cleanUp := newOrderDaemon(workers)
		defer cleanUp()
		dispatchSilentStarts(d, runs)
		for i := range silentWorkers {
			target := chuteaction.WorkerTarget{Worker: silentName(i)}
			for k := range runs {
				d.dispatch(chuteaction.StopRun{WorkerTarget: target, Run: startOf(silentName(i), runs+k).Run})
			}
			d.dispatch(chuteaction.RenewLease{WorkerTarget: target})
			d.dispatch(chuteaction.RenewLease{WorkerTarget: target, PollTimeout: 2 * time.Second})
		}
		ordered := time.Now()
		for i := range promptWorkers {
			target := chuteaction.WorkerTarget{Worker: promptName(i)}
			d.dispatch(chuteaction.StopRun{WorkerTarget: target, Run: startOf(promptName(i), 0).Run})
			d.dispatch(chuteaction.RenewLease{WorkerTarget: target})
			d.dispatch(chuteaction.RenewLease{WorkerTarget: target, PollTimeout: 2 * time.Second})
		}
		time.Sleep(time.Minute)
		for i := range promptWorkers {
			sent := workers.sentTo(promptName(i))
			is.Equal(len(sent), 3)
			for _, s := range sent {
				is.True(s.at.Sub(ordered) <= maxDelay)
			}
		}
		for i := range silentWorkers {
			renewals := 0
			for _, s := range workers.sentTo(silentName(i)) {
				if o, ok := s.order.(chuteaction.RenewLease); ok {
					renewals++
					is.True(s.at.Sub(ordered) <= maxDelay || o.PollTimeout > 0)
				}
			}
			is.Equal(renewals, 2)
		}
	})
}

func TestOrdersThatAWorkersDutyHasNotSentAreAnsweredWhenItIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, cleanUp := newOrderDaemon(&someSilentWorkers{silent: silentNames()})
		defer cleanUp()
		const stops = 5
		target := chuteaction.WorkerTarget{Worker: silentName(0)}
		for k := range stops {
			d.dispatch(chuteaction.StopRun{WorkerTarget: target, Run: startOf(silentName(0), k).Run})
		}
		time.Sleep(time.Millisecond)
		d.dispatch(chuteaction.DisconnectWorker{Worker: silentName(0)})
		time.Sleep(time.Minute)
		is.Equal(d.events.Stats().Depth, stops) // each order has its outcome
	})
}

func TestOrdersThatWereNotSentAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, cleanUp := newOrderDaemon(&someSilentWorkers{silent: silentNames()})
		defer cleanUp()
		late, withdrawn := startOf("prompt", 0), startOf("prompt", 1)
		late.SendBefore = time.Now().Add(-time.Millisecond)
		d.dispatch(late)
		d.starts.add(withdrawn.Run)
		d.starts.remove(withdrawn.Run)
		d.startRing.Offer(withdrawn)
		renewal := chuteaction.RenewLease{WorkerTarget: chuteaction.WorkerTarget{Worker: silentName(0)}}
		d.dispatch(renewal)
		synctest.Wait() // the duty waits for the answer
		for range 2 * renewRingSize {
			d.dispatch(renewal)
		}
		time.Sleep(3 * time.Second) // metrics are exported once a second
		recorder := httptest.NewRecorder()
		d.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, line := range []string{
			`monsoonchute_order_not_sent{reason="start_late"} 1`, `monsoonchute_order_not_sent{reason="start_withdrawn"} 1`,
			`monsoonchute_order_not_sent{reason="renewal_ring_full"} 4`, `monsoonchute_order_wait_count{kind="start"} 1`,
		} {
			is.True(strings.Contains(recorder.Body.String(), line)) // the line is served
		}
	})
}
