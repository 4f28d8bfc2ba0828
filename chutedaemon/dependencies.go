package chutedaemon

import (
	"context"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
	"monsoonchute.example/monsoonchute/chutewatch"
)

// Dependencies are the services and hosts that an entry host communicates with.
type Dependencies struct {
	Store    Store
	Workers  Workers
	Machines Machines
	Peers    Peers
}

// Store is the platform's store.
type Store interface {
	chutewatch.Tables
	// Write commits a transaction if all its conditions hold.
	Write(ctx context.Context, write chuteaction.WriteRows) chuteaction.RowsWritten
	// Read reads a range of rows.
	Read(ctx context.Context, read chuteaction.ReadRows) chuteaction.RowsRead
	// Interrupt aborts all requests in flight.
	Interrupt()
}

// Workers sends orders to workers, and requests to the approval service.
type Workers interface {
	// Start orders a worker to start a run.
	Start(ctx context.Context, order chuteaction.StartRun) chuteaction.RunStarted
	// Stop orders a worker to stop a run.
	Stop(ctx context.Context, order chuteaction.StopRun) chuteaction.RunStopped
	// Renew renews the lease of a worker and returns its running tasks and its unacknowledged run ends.
	Renew(ctx context.Context, order chuteaction.RenewLease) chuteaction.LeaseRenewed
	// Pace orders a worker to limit a run to a percentage of its full speed.
	Pace(ctx context.Context, order chuteaction.PaceRun) error
	// Approve asks the approval service which workers may run a step.
	Approve(ctx context.Context, request chuteaction.RequestApproval) chuteaction.StepApproved
	// Disconnect closes the connections to a worker.
	Disconnect(worker chutetask.WorkerID)
}

// Machines is the platform's service that lists machines and takes them down for maintenance.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) chuteaction.MachinesListed
	// Maintain orders the service to take a machine down for its maintenance.
	Maintain(ctx context.Context, order chuteaction.MaintainMachine) chuteaction.MachineMaintained
}

// Peers are the other entry hosts.
type Peers interface {
	// SetPeers sets the addresses of the other entry hosts.
	SetPeers(addresses []string)
	// SendNotice sends a notice to the host at the address, and returns an error unless that host confirms it.
	SendNotice(ctx context.Context, address string, notice []byte) error
	// NextNotice waits for the next notice of another host. It returns false if the context ended first.
	NextNotice(ctx context.Context) ([]byte, bool)
}
