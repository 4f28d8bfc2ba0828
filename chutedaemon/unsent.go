package chutedaemon

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// notSent returns the event that tells the core that an order was not sent, or nil if the core expects none.
func notSent(order chuteaction.OrderEffect) chuteaction.Event {
	switch o := order.(type) {
	case chuteaction.StartRun:
		return chuteaction.RunStarted{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderNotSent}
	case chuteaction.StopRun:
		return chuteaction.RunStopped{Epoch: o.Epoch, Worker: o.Worker, SentAt: time.Now(), Run: o.Run, Outcome: chuteaction.OrderNotSent}
	case chuteaction.RenewLease:
		return chuteaction.LeaseRenewed{Epoch: o.Epoch, Worker: o.Worker, SentAt: time.Now(), Outcome: chuteaction.OrderNotSent}
	case chuteaction.RequestApproval:
		return chuteaction.StepApproved{Step: o.Step, Workers: o.Workers}
	case chuteaction.ListMachines:
		return chuteaction.MachinesListed{}
	case chuteaction.MaintainMachine:
		return chuteaction.MachineMaintained{
			Epoch: o.Epoch, Machine: o.Machine, Wave: o.Wave, Outcome: chuteaction.OrderNotSent, Reason: "ring-full",
		}
	case chuteaction.PaceRun:
	}
	return nil
}

// orderKind returns the kebab-case name of the order's kind.
func orderKind(order chuteaction.OrderEffect) string {
	switch order.(type) {
	case chuteaction.StartRun:
		return "start"
	case chuteaction.StopRun:
		return "stop"
	case chuteaction.RenewLease:
		return "renewal"
	case chuteaction.RequestApproval:
		return "approval"
	case chuteaction.ListMachines:
		return "machine-list"
	case chuteaction.MaintainMachine:
		return "maintenance"
	case chuteaction.PaceRun:
		return "pace"
	}
	return "invalid"
}

// giveBack counts an order that was not sent, by its kind and the reason, and returns the event that tells the core so, or
// nil if the core expects none.
func (d *Daemon) giveBack(order chuteaction.OrderEffect, reason string) chuteaction.Event {
	d.metrics.Count("order-not-sent", orderKind(order)+"-"+reason)
	return notSent(order)
}

// passed reports whether the time limit has passed. The steady clock does not count the time that the host sleeps, and
// the wall clock may be set back, so either of them is enough.
func passed(limit time.Time) bool {
	now := time.Now()
	return now.After(limit) || now.Round(0).After(limit.Round(0))
}
