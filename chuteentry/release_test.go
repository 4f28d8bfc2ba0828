package chuteentry_test

import (
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chuteentry"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// soloHost is a host whose effects are answered at its next tick, but for the writes that are held back.
type soloHost struct {
	state     chuteentry.State
	now       time.Time
	version   chuteaction.RowVersion
	answers   []chuteaction.Event
	running   []chutetask.RunReport
	renewals  []chuteaction.RenewLease
	released  bool // the leader's row was written as released, and the store has not answered
	takeovers int
}

func newSoloHost() *soloHost {
	return &soloHost{now: time.Unix(1_800_000_000, 0), state: chuteentry.New(chuteentry.Settings{
		Host: "solo", Process: "solo-1", Bounds: chuteledger.Bounds{MaxLease: maxLease},
	})}
}

func (h *soloHost) deliver(event chuteaction.Event) {
	state, effects := chuteentry.Step(h.state, chuteaction.TimedEvent{At: h.now, Event: event})
	h.state = state
	for _, effect := range effects {
		h.execute(effect)
	}
}

// run delivers the answers and a tick every 50 ms.
func (h *soloHost) run(span time.Duration) {
	for end := h.now.Add(span); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		answers := h.answers
		h.answers = nil
		for _, event := range answers {
			h.deliver(event)
		}
		h.deliver(chuteaction.TableChanged{Table: chuteaction.TableLeaders})
		h.deliver(chuteaction.Tick{})
	}
}

func (h *soloHost) execute(effect chuteaction.Effect) {
	switch f := effect.(type) {
	case chuteaction.WriteRows:
		h.write(f)
	case chuteaction.ReadRows:
		h.answers = append(h.answers, chuteaction.RowsRead{Token: f.Token, Outcome: chuteaction.StoreDone})
	case chuteaction.WatchTable:
		h.answers = append(h.answers, chuteaction.TableChanged{Watch: f.Watch, Table: f.Table, SentAt: h.now, Complete: true, Rows: soloRows[f.Table]})
	case chuteaction.StartRun:
		h.running = append(h.running, chutetask.RunReport{Run: f.Run})
		h.answers = append(h.answers, chuteaction.RunStarted{Epoch: f.Epoch, Worker: f.Worker, Run: f.Run, Outcome: chuteaction.OrderAccepted})
	case chuteaction.RenewLease:
		h.renewals = append(h.renewals, f)
		h.answers = append(h.answers, chuteaction.LeaseRenewed{
			Epoch: f.Epoch, Worker: f.Worker, SentAt: h.now, Outcome: chuteaction.OrderAccepted,
			Clock: time.Duration(h.now.UnixNano()), Incarnation: 1, Running: h.running,
		})
	default:
	}
}

func (h *soloHost) write(f chuteaction.WriteRows) {
	for _, r := range f.Put {
		row, ok := r.Value.(chuteaction.LeaderRow)
		if ok && row.Sequence == 0 {
			h.takeovers++
		}
		h.released = h.released || ok && row.Released
	}
	if h.released {
		return
	}
	h.version++
	h.answers = append(h.answers, chuteaction.RowsWritten{Token: f.Token, Outcome: chuteaction.StoreDone, Version: h.version})
}

var soloRows = map[chuteaction.Table][]chuteaction.Row{
	chuteaction.TableOperator: {{Value: chuteaction.CatalogRow{Catalog: testCatalog(1)}}},
	chuteaction.TableJobs: {{RowKey: chuteaction.SubmissionKey("00000000000000aa"), Value: chuteaction.SubmissionRow{Submission: chutetask.Submission{
		ID: "00000000000000aa", Queue: "normal", Service: "main", Spec: chutegraph.Spec{Steps: []chutegraph.Step{taskStep(1)}},
	}}}},
	chuteaction.TableWorkers: {{RowKey: chuteaction.RowKey{Table: chuteaction.TableWorkers, Key: "worker"}, Value: chuteaction.WorkerRow{Listing: chutepool.Listing{
		ID: "worker", Service: "main", Address: "worker:1", Incarnation: 1, Capacity: chutecapacity.Resources{Processor: 8000, Memory: 8000, Accelerators: 8},
	}}}},
}

// TestALeaderThatHasReleasedExtendsNoLease guards against runs that a successor counts as lost although their lease was extended.
func TestALeaderThatHasReleasedExtendsNoLease(t *testing.T) {
	h := newSoloHost()
	h.run(5 * time.Second)
	if len(h.running) != 1 {
		t.Fatalf("%d runs have started", len(h.running))
	}
	h.deliver(chuteaction.StopRequested{})
	h.run(100 * time.Millisecond)
	if !h.released {
		t.Fatal("the leadership was not released")
	}
	latest := h.renewals[len(h.renewals)-1].LeaseEnd
	h.run(5 * time.Second)
	if end := h.renewals[len(h.renewals)-1].LeaseEnd; end > latest {
		t.Errorf("a lease was extended by %s after the release", end-latest)
	}
}
