package chutequota

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// Draft is a working copy of quotas for one planning pass, which counts what the pass starts. A copy of the quotas for each start would
// take a tenth of the time of a pass.
type Draft struct {
	Quotas
}

// Draft returns a working copy of the quotas.
func (q Quotas) Draft() *Draft {
	q.accounts = slices.Clone(q.accounts)
	return &Draft{Quotas: q}
}

// Snapshot returns the quotas as they are now.
func (d *Draft) Snapshot() Quotas {
	return d.Draft().Quotas
}

// Use counts planned runs of the step that request the resources towards the quota of the workspace. What was reserved for the step is
// not reserved any more.
func (d *Draft) Use(workspace string, step chutegraph.StepID, requested chutecapacity.Resources) {
	i, limited := d.index[workspace]
	if !limited {
		return
	}
	a := &d.accounts[i]
	a.use = a.use.Plus(requested)
	if none := (Reservation{}); a.reservation != none && a.reservation.Step == step {
		a.reservation = none
		d.reserved--
	}
}

// Stop counts runs of the workspace that request the resources as being stopped.
func (d *Draft) Stop(workspace string, requested chutecapacity.Resources) {
	if i, limited := d.index[workspace]; limited {
		d.accounts[i].stopping = d.accounts[i].stopping.Plus(requested)
	}
}

// MayReserve reports whether what the request needs may be reserved for it: its workspace has no reservation for a step of the same or
// a higher priority, and could start it.
func (d *Draft) MayReserve(r Request) bool {
	i, limited := d.index[r.Workspace]
	if !limited || r.Guaranteed || !d.EverAllows(r) || r.need() == (chutecapacity.Resources{}) {
		return false
	}
	reservation := d.accounts[i].reservation
	return reservation == Reservation{} || reservation.Priority > r.Priority
}

// Reserve reserves what the request needs for it, if MayReserve allows it.
func (d *Draft) Reserve(r Request) {
	if !d.MayReserve(r) {
		return
	}
	a := &d.accounts[d.index[r.Workspace]]
	if none := (Reservation{}); a.reservation == none {
		d.reserved++
	}
	a.reservation = Reservation{Step: r.Step, Priority: r.Priority, Need: r.need()}
}

// WithReservation returns the quotas with what the request needs reserved for it, as Draft.Reserve does.
func (q Quotas) WithReservation(r Request) Quotas {
	d := q.Draft()
	d.Reserve(r)
	return d.Quotas
}
