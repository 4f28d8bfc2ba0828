package chutesimulation

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutestore"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutewire"
	"monsoonchute.example/monsoonchute/chuteworker"
)

// carry does what the core asks for.
func (r *Simulation) carry(h *Host, effect chuteevent.Effect) {
	boot := h.boot
	switch e := effect.(type) {
	case chuteevent.CommitTable:
		h.commits = append(h.commits, e)
		r.pump(h, boot)
	case chuteevent.ReadTable:
		r.after(r.delay()+r.Faults.Delay, func() { r.read(h, boot, e, r.Now) })
	case chuteevent.SendOrder:
		r.after(r.delay(), func() { r.order(h, boot, e) })
	case chuteevent.PollWorker:
		r.after(r.delay(), func() { r.poll(h, boot, e) })
	case chuteevent.SendPeerMessage:
		r.after(r.delay(), func() { r.sendPeer(h, e) })
	case chuteevent.AnswerCall:
		r.Replies[e.ID] = Reply{Reply: e.Reply, At: r.Now}
	case chuteevent.Count:
		r.Counts[e.Counter+"/"+e.Reason]++
	case chuteevent.LogLine:
		r.Lines = append(r.Lines, fmt.Sprintf("%8s %s %s: %s", r.Now.Sub(StartTime()), h.ID, e.Component, e.Text))
	case chuteevent.Stopped:
		h.Stopped = true
		h.alive = false
		h.boot++
	case chuteevent.LinkPeers, chuteevent.Dispatch, chuteevent.ProbeBackend, chuteevent.AnswerRequest:
	}
}

func (r *Simulation) storeAnswers(h *Host) bool {
	return !r.Faults.Down && !h.cutOff
}

// pump sends the host's commits one after the other, each until its outcome is certain.
func (r *Simulation) pump(h *Host, boot int) {
	if h.sending || len(h.commits) == 0 {
		return
	}
	h.sending = true
	r.after(r.delay()+r.Faults.Delay, func() { r.commit(h, boot, false) })
}

func (r *Simulation) commit(h *Host, boot int, sent bool) {
	if h.boot != boot || !h.alive {
		return
	}
	e := h.commits[0]
	switch {
	case !sent && !e.SendBefore.IsZero() && !r.Now.Before(e.SendBefore):
		r.commitEnded(h, boot, chuteevent.TableFailed{Token: e.Token})
		return
	case !r.storeAnswers(h):
		r.after(storeRetry, func() { r.commit(h, boot, sent) })
		return
	}
	outcome := r.Table.Commit(r.transaction(e))
	r.noteCommit(e, outcome)
	if r.Faults.LoseAnswers {
		r.after(storeRetry, func() { r.commit(h, boot, true) })
		return
	}
	r.after(r.delay(), func() {
		r.commitEnded(h, boot, chuteevent.TableCommitted{Token: e.Token, Accepted: outcome.Accepted, Versions: outcome.Versions})
	})
}

func (r *Simulation) commitEnded(h *Host, boot int, event chuteevent.Event) {
	if h.boot != boot || !h.alive {
		return
	}
	h.commits = h.commits[1:]
	h.sending = false
	r.deliver(h, boot, event)
	r.pump(h, boot)
}

func (r *Simulation) transaction(e chuteevent.CommitTable) chutestore.Transaction {
	transaction := chutestore.Transaction{Token: string(e.Token), Conditions: e.Conditions}
	for _, w := range e.Writes {
		write := chutestore.RowWrite{Key: w.Key}
		if w.Row != nil {
			value, err := chutewire.EncodeRow(w.Row)
			if err != nil {
				r.Fail("row %s cannot be encoded: %v", w.Key, err)
			}
			write.Value = value
		}
		transaction.Writes = append(transaction.Writes, write)
	}
	return transaction
}

// noteCommit keeps the history of accepted documents and of the owners of shards.
func (r *Simulation) noteCommit(e chuteevent.CommitTable, outcome chutestore.Outcome) {
	if !outcome.Accepted {
		return
	}
	for _, w := range e.Writes {
		switch row := w.Row.(type) {
		case chutetable.DocumentRow:
			r.noteDocument(w.Key, row)
		case chutetable.ShardRow:
			key := fmt.Sprintf("%d/%d", row.Shard, row.Epoch)
			if before, known := r.epochs[key]; known && row.Owner != "" && before != row.Boot {
				r.Fail("shard %s is owned by %s and %s", key, before, row.Boot)
			} else if row.Owner != "" {
				r.epochs[key] = row.Boot
			}
		case chutetable.HostRow, chutetable.JobRow, chutetable.IntentRow:
		}
	}
}

func (r *Simulation) noteDocument(key chutetable.Key, row chutetable.DocumentRow) {
	if key != chutetable.DocumentHeadKey || row.Document.Version <= len(r.accepted) {
		return
	}
	if row.Document.Version != len(r.accepted)+1 {
		r.Fail("document %d follows %d", row.Document.Version, len(r.accepted))
	}
	r.accepted = append(r.accepted, row.Document)
	r.times = append(r.times, r.Now)
}

func (r *Simulation) read(h *Host, boot int, e chuteevent.ReadTable, sent time.Time) {
	if !r.storeAnswers(h) {
		r.after(storeRetry, func() { r.deliver(h, boot, chuteevent.TableFailed{Token: e.Token}) })
		return
	}
	read := chuteevent.TableRead{Token: e.Token, SentAt: sent}
	for _, s := range r.Table.Read(e.Prefix, e.Exact) {
		row, err := chutewire.DecodeRow(s.Value)
		if err != nil {
			r.Fail("row %s cannot be decoded: %v", s.Key, err)
			continue
		}
		read.Rows = append(read.Rows, chutetable.StoredRow{Key: s.Key, Version: s.Version, Row: row})
	}
	r.after(r.delay(), func() { r.deliver(h, boot, read) })
}

// order hands an order to the worker's agent. A paused host sends nothing until it resumes.
func (r *Simulation) order(h *Host, boot int, e chuteevent.SendOrder) {
	if h.boot != boot || !h.alive {
		return
	}
	if h.paused {
		r.after(r.tick, func() { r.order(h, boot, e) })
		return
	}
	ended := chuteevent.OrderEnded{
		Shard: e.Fence.Shard, Epoch: e.Fence.Epoch, Worker: e.Worker, Order: e.Order, Outcome: chuteorder.OutcomeRefused,
	}
	if !e.Expires.IsZero() && !r.Now.Before(e.Expires) {
		r.deliver(h, boot, ended)
		return
	}
	w := r.Workers[e.Worker]
	if w.Unreachable {
		ended.Outcome = chuteorder.OutcomeUnknown
		r.after(callLimit, func() { r.deliver(h, boot, ended) })
		return
	}
	answer := w.Agent.HandleOrder(r.Now, chuteworker.EncodeOrder(e.Fence, e.Order))
	if answer.Accepted {
		r.noteStart(w, e)
		ended.Outcome, ended.Task = chuteorder.OutcomeAccepted, answer.Task
	}
	r.after(r.delay(), func() { r.deliver(h, boot, ended) })
}

func (r *Simulation) poll(h *Host, boot int, e chuteevent.PollWorker) {
	w := r.Workers[e.Worker]
	if h.boot != boot || !h.alive || h.paused || w.Unreachable || !r.Now.Before(e.Expires) {
		return
	}
	answer := w.Agent.HandlePoll(r.Now, e.Poll)
	if !answer.Accepted {
		return
	}
	sent := r.Now
	r.after(r.delay(), func() {
		r.deliver(h, boot, chuteevent.WorkerPolled{
			Shard: e.Poll.Fence.Shard, Epoch: e.Poll.Fence.Epoch, Worker: e.Worker, SentAt: sent, Lease: e.Poll.Lease,
			Report: answer.Report, ReceivedAt: r.Now,
		})
	})
}

func (r *Simulation) sendPeer(h *Host, e chuteevent.SendPeerMessage) {
	if r.cuts[[2]chutetable.HostID{h.ID, e.To}] || !h.alive {
		return
	}
	encoded, err := chutewire.EncodeMessage(e.Message)
	if err != nil {
		r.Fail("message cannot be encoded: %v", err)
		return
	}
	message, err := chutewire.DecodeMessage(encoded)
	if err != nil {
		r.Fail("message cannot be decoded: %v", err)
		return
	}
	for _, other := range r.Hosts {
		if other.ID == e.To {
			r.deliver(other, other.boot, chuteevent.PeerMessageArrived{From: h.ID, Message: message})
		}
	}
}
