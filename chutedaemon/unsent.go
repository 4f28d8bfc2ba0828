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
		return chuteaction.RunStopped{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderNotSent}
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

// passed reports whether the time limit has passed. The steady clock does not count the time that the host sleeps, and
// the wall clock may be set back, so either of them is enough.
func passed(limit time.Time) bool {
	now := time.Now()
	return now.After(limit) || now.Round(0).After(limit.Round(0))
}
