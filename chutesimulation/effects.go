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

// execute carries out an effect that the core of the host requests.
func (s *Simulation) execute(h *Host, effect chuteevent.Effect) {
	boot := h.boot
	switch e := effect.(type) {
	case chuteevent.CommitTable:
		h.commits = append(h.commits, e)
		s.sendNextCommit(h, boot)
	case chuteevent.ReadTable:
		s.schedule(s.messageDelay()+s.StoreFaults.Delay, func() { s.readTable(h, boot, e, s.Now) })
	case chuteevent.SendOrder:
		s.schedule(s.messageDelay(), func() { s.sendOrder(h, boot, e) })
	case chuteevent.PollWorker:
		s.schedule(s.messageDelay(), func() { s.pollWorker(h, boot, e) })
	case chuteevent.SendPeerMessage:
		s.schedule(s.messageDelay(), func() { s.sendPeer(h, e) })
	case chuteevent.AnswerCall:
		s.Replies[e.ID] = Reply{Reply: e.Reply, At: s.Now}
	case chuteevent.Count:
		s.Counters[e.Counter+"/"+e.Reason]++
	case chuteevent.LogLine:
		s.LogLines = append(s.LogLines, fmt.Sprintf("%8s %s %s: %s", s.Now.Sub(StartTime()), h.ID, e.Component, e.Text))
	case chuteevent.Stopped:
		h.Stopped = true
		h.alive = false
		h.boot++
	case chuteevent.SetPeers, chuteevent.Dispatch, chuteevent.ProbeBackend, chuteevent.AnswerRequest:
	}
}

func (s *Simulation) storeReachable(h *Host) bool {
	return !s.StoreFaults.Down && !h.storeCut
}

// sendNextCommit sends the next commit of the host, unless one is in progress. Commits follow one another, each
// repeated until its outcome is certain.
func (s *Simulation) sendNextCommit(h *Host, boot int) {
	if h.committing || len(h.commits) == 0 {
		return
	}
	h.committing = true
	s.schedule(s.messageDelay()+s.StoreFaults.Delay, func() { s.sendCommit(h, boot, false) })
}

func (s *Simulation) sendCommit(h *Host, boot int, mayHaveCommitted bool) {
	if h.boot != boot || !h.alive {
		return
	}
	e := h.commits[0]
	switch {
	case !mayHaveCommitted && !e.SendBefore.IsZero() && !s.Now.Before(e.SendBefore):
		s.finishCommit(h, boot, chuteevent.TableFailed{Token: e.Token})
		return
	case !s.storeReachable(h):
		s.schedule(storeRetryInterval, func() { s.sendCommit(h, boot, mayHaveCommitted) })
		return
	}
	outcome := s.Table.Commit(s.transaction(e))
	s.recordCommit(e, outcome)
	if s.StoreFaults.LoseResponses {
		s.schedule(storeRetryInterval, func() { s.sendCommit(h, boot, true) })
		return
	}
	s.schedule(s.messageDelay(), func() {
		s.finishCommit(h, boot, chuteevent.TableCommitted{Token: e.Token, Accepted: outcome.Accepted, Versions: outcome.Versions})
	})
}

func (s *Simulation) finishCommit(h *Host, boot int, event chuteevent.Event) {
	if h.boot != boot || !h.alive {
		return
	}
	h.commits = h.commits[1:]
	h.committing = false
	s.deliver(h, boot, event)
	s.sendNextCommit(h, boot)
}

func (s *Simulation) transaction(e chuteevent.CommitTable) chutestore.Transaction {
	transaction := chutestore.Transaction{Token: string(e.Token), Conditions: e.Conditions}
	for _, w := range e.Writes {
		write := chutestore.RowWrite{Key: w.Key}
		if w.Row != nil {
			value, err := chutewire.EncodeRow(w.Row)
			if err != nil {
				s.ReportViolation("row %s cannot be encoded: %v", w.Key, err)
			}
			write.Value = value
		}
		transaction.Writes = append(transaction.Writes, write)
	}
	return transaction
}

// recordCommit records the accepted documents and the owners of the shards.
func (s *Simulation) recordCommit(e chuteevent.CommitTable, outcome chutestore.Outcome) {
	if !outcome.Accepted {
		return
	}
	for _, w := range e.Writes {
		switch row := w.Row.(type) {
		case chutetable.DocumentRow:
			s.recordDocument(w.Key, row)
		case chutetable.ShardRow:
			key := fmt.Sprintf("%d/%d", row.Shard, row.Epoch)
			if former, ok := s.shardOwners[key]; ok && row.Owner != "" && former != row.BootID {
				s.ReportViolation("shard and epoch %s have two owners, %s and %s", key, former, row.BootID)
			} else if row.Owner != "" {
				s.shardOwners[key] = row.BootID
			}
		case chutetable.JobRow:
			s.workspaces[row.Job.ID] = row.Job.Spec.Workspace
		case chutetable.HostRow, chutetable.IntentRow, chutetable.LimitRow:
		}
	}
}

func (s *Simulation) recordDocument(key chutetable.Key, row chutetable.DocumentRow) {
	if key != chutetable.DocumentHeadKey || row.Document.Version <= len(s.documents) {
		return
	}
	if row.Document.Version != len(s.documents)+1 {
		s.ReportViolation("document version %d follows version %d", row.Document.Version, len(s.documents))
	}
	s.documents = append(s.documents, row.Document)
	s.acceptedAt = append(s.acceptedAt, s.Now)
}

func (s *Simulation) readTable(h *Host, boot int, e chuteevent.ReadTable, sentAt time.Time) {
	if !s.storeReachable(h) {
		s.schedule(storeRetryInterval, func() { s.deliver(h, boot, chuteevent.TableFailed{Token: e.Token}) })
		return
	}
	read := chuteevent.TableRead{Token: e.Token, SentAt: sentAt}
	for _, stored := range s.Table.Read(e.Prefix, e.Exact) {
		row, err := chutewire.DecodeRow(stored.Value)
		if err != nil {
			s.ReportViolation("row %s cannot be decoded: %v", stored.Key, err)
			continue
		}
		read.Rows = append(read.Rows, chutetable.StoredRow{Key: stored.Key, Version: stored.Version, Row: row})
	}
	s.schedule(s.messageDelay(), func() { s.deliver(h, boot, read) })
}

// sendOrder sends an order to the agent of the worker. A paused host sends nothing until it resumes.
func (s *Simulation) sendOrder(h *Host, boot int, e chuteevent.SendOrder) {
	if h.boot != boot || !h.alive {
		return
	}
	if h.paused {
		s.schedule(s.tick, func() { s.sendOrder(h, boot, e) })
		return
	}
	ended := chuteevent.OrderEnded{
		Shard: e.Fence.Shard, Epoch: e.Fence.Epoch, Worker: e.Worker, Order: e.Order, Outcome: chuteorder.OutcomeRefused,
	}
	if !e.Expires.IsZero() && !s.Now.Before(e.Expires) {
		s.deliver(h, boot, ended)
		return
	}
	w := s.Workers[e.Worker]
	if w.Unreachable {
		ended.Outcome = chuteorder.OutcomeUnknown
		s.schedule(callTimeout, func() { s.deliver(h, boot, ended) })
		return
	}
	response := w.Agent.HandleOrder(s.Now, chuteworker.EncodeOrder(e.Fence, e.Order))
	if response.Accepted {
		s.checkStart(w, e)
		s.checkLimit(e)
		ended.Outcome, ended.Task = chuteorder.OutcomeAccepted, response.Task
	}
	s.schedule(s.messageDelay(), func() { s.deliver(h, boot, ended) })
}

func (s *Simulation) pollWorker(h *Host, boot int, e chuteevent.PollWorker) {
	w := s.Workers[e.Worker]
	if h.boot != boot || !h.alive || h.paused || w.Unreachable || !s.Now.Before(e.Expires) {
		return
	}
	response := w.Agent.HandlePoll(s.Now, e.Poll)
	if !response.Accepted {
		return
	}
	sentAt := s.Now
	s.schedule(s.messageDelay(), func() {
		s.deliver(h, boot, chuteevent.WorkerPolled{
			Shard: e.Poll.Fence.Shard, Epoch: e.Poll.Fence.Epoch, Worker: e.Worker, SentAt: sentAt, Lease: e.Poll.Lease,
			Report: response.Report, ReceivedAt: s.Now,
		})
	})
}

func (s *Simulation) sendPeer(h *Host, e chuteevent.SendPeerMessage) {
	if s.cutLinks[[2]chutetable.HostID{h.ID, e.To}] || !h.alive {
		return
	}
	encoded, err := chutewire.EncodeMessage(e.Message)
	if err != nil {
		s.ReportViolation("a message between hosts cannot be encoded: %v", err)
		return
	}
	message, err := chutewire.DecodeMessage(encoded)
	if err != nil {
		s.ReportViolation("a message between hosts cannot be decoded: %v", err)
		return
	}
	for _, other := range s.Hosts {
		if other.ID == e.To {
			s.deliver(other, other.boot, chuteevent.PeerMessageArrived{From: h.ID, Message: message})
		}
	}
}
