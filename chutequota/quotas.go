package chutequota

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// Quotas is what each workspace that has a quota may still start. It is immutable; its zero value limits nothing.
type Quotas struct {
	index    map[string]int // of the account of each workspace that has a quota; never modified
	accounts []account      // never modified
	reserved int            // number of reservations
}

// account is the use and the quota of a workspace.
type account struct {
	limit       chutecapacity.Resources // an amount of 0 is no limit
	use         chutecapacity.Resources
	stopping    chutecapacity.Resources // the part of the use that belongs to runs that are being stopped
	reservation Reservation
}

// Reservation keeps the free part of a workspace's quota for the tasks of a step that have waited for it for long. It applies to
// steps of the same or a lower priority that no guarantee covers.
type Reservation struct {
	Step     chutegraph.StepID
	Priority int
	Need     chutecapacity.Resources // zero if there is no reservation
}

// Request is what the waiting tasks of a step ask of the quota of their workspace.
type Request struct {
	Workspace  string
	Step       chutegraph.StepID
	Priority   int
	Guaranteed bool
	Each       chutecapacity.Resources // what one task requests
	Tasks      int                     // number of tasks that start together
	// MayUseReserved lets a start use what is reserved for others while its workspace uses less than half of its quota before it.
	MayUseReserved bool
}

// need returns what the tasks request together.
func (r Request) need() chutecapacity.Resources {
	return r.Each.Times(r.Tasks)
}

// New returns the quotas of the catalog with what the ledger says is in use.
func New(catalog chutecatalog.Catalog, ledger Ledger) Quotas {
	var q Quotas
	for _, w := range catalog.Workspaces {
		if _, known := q.index[w.Name]; known || w.Limit == (chutecapacity.Resources{}) {
			continue
		}
		if q.index == nil {
			q.index = make(map[string]int, len(catalog.Workspaces))
			q.accounts = make([]account, 0, len(catalog.Workspaces))
		}
		use := ledger.Use(w.Name)
		q.index[w.Name] = len(q.accounts)
		q.accounts = append(q.accounts, account{limit: w.Limit, use: use.Requested, stopping: use.Stopping})
	}
	return q
}

// account returns the account of the workspace, and false if it has no quota.
func (q Quotas) account(workspace string) (account, bool) {
	i, limited := q.index[workspace]
	if !limited {
		return account{}, false
	}
	return q.accounts[i], true
}

// Limited reports whether the workspace has a quota.
func (q Quotas) Limited(workspace string) bool {
	_, limited := q.index[workspace]
	return limited
}

// Reserves reports whether a part of any quota is reserved.
func (q Quotas) Reserves() bool {
	return q.reserved > 0
}

// Reservations returns the steps for which the free part of their workspace's quota is reserved, by workspace.
func (q Quotas) Reservations() map[string]chutegraph.StepID {
	if q.reserved == 0 {
		return nil
	}
	steps := make(map[string]chutegraph.StepID, q.reserved)
	for workspace, i := range q.index {
		if r := q.accounts[i].reservation; r != (Reservation{}) {
			steps[workspace] = r.Step
		}
	}
	return steps
}

// Copies returns how many of the request's tasks may start, each by itself.
func (q Quotas) Copies(r Request) int {
	a, limited := q.account(r.Workspace)
	if !limited {
		return r.Tasks
	}
	unreserved := r
	unreserved.MayUseReserved = false
	count := copiesWithin(r.Each, a.limit, a.available(unreserved), r.Tasks)
	if !r.MayUseReserved {
		return count
	}
	// What is reserved is open to each start by itself.
	for a.use = a.use.Plus(r.Each.Times(count)); count < r.Tasks && fits(r.Each, a.limit, a.available(r)); count++ {
		a.use = a.use.Plus(r.Each)
	}
	return count
}

// Allows reports whether all tasks of the request may start together.
func (q Quotas) Allows(r Request) bool {
	a, limited := q.account(r.Workspace)
	return !limited || fits(r.need(), a.limit, a.available(r))
}

// EverAllows reports whether all tasks of the request may start together while nothing else of their workspace runs.
func (q Quotas) EverAllows(r Request) bool {
	a, limited := q.account(r.Workspace)
	return !limited || fits(r.need(), a.limit, a.limit)
}

// Describe tells how the workspace's quota concerns the request: not at all, by its use now, for others that wait, or for good.
func (q Quotas) Describe(r Request) string {
	a, limited := q.account(r.Workspace)
	switch {
	case !limited:
		return "none"
	case q.Allows(r):
		return "allows"
	case !q.EverAllows(r):
		return "never-allows"
	case fits(r.need(), a.limit, a.limit.Minus(a.use)):
		return "reserved"
	}
	return "in-use"
}

// CopiesAfter returns how many of the request's tasks may start once the runs that are being stopped have ended and runs that
// request the given resources as well.
func (q Quotas) CopiesAfter(r Request, ended chutecapacity.Resources) int {
	a, limited := q.account(r.Workspace)
	if !limited {
		return r.Tasks
	}
	return copiesWithin(r.Each, a.limit, a.available(r).Plus(a.stopping).Plus(ended), r.Tasks)
}

// available returns what the workspace may still start, for the request; amounts may be negative.
func (a account) available(r Request) chutecapacity.Resources {
	free := a.limit.Minus(a.use)
	if !a.reservedFrom(r) {
		return free
	}
	if r.MayUseReserved && a.underHalfUsed() {
		return free
	}
	return free.Minus(a.reservation.Need)
}

// underHalfUsed reports whether less than half of the quota is in use, of each resource that is limited.
func (a account) underHalfUsed() bool {
	under := func(use, limit int) bool { return limit <= 0 || 2*use < limit }
	return under(a.use.Processor, a.limit.Processor) && under(a.use.Memory, a.limit.Memory) && under(a.use.Accelerators, a.limit.Accelerators)
}

// reservedFrom reports whether what is reserved is withheld from the request.
func (a account) reservedFrom(r Request) bool {
	none := chutecapacity.Resources{}
	return a.reservation.Need != none && a.reservation.Step != r.Step && !r.Guaranteed && r.Priority >= a.reservation.Priority
}

// fits reports whether the need is at most what is available of each resource that it has and that is limited.
func fits(need, limit, available chutecapacity.Resources) bool {
	within := func(need, limit, available int) bool { return need <= 0 || limit <= 0 || need <= available }
	return within(need.Processor, limit.Processor, available.Processor) && within(need.Memory, limit.Memory, available.Memory) &&
		within(need.Accelerators, limit.Accelerators, available.Accelerators)
}

// copiesWithin returns how many times the need is within what is available of each resource that is limited, at most count.
func copiesWithin(need, limit, available chutecapacity.Resources, count int) int {
	if limit.Processor <= 0 {
		need.Processor = 0
	}
	if limit.Memory <= 0 {
		need.Memory = 0
	}
	if limit.Accelerators <= 0 {
		need.Accelerators = 0
	}
	return need.Copies(available, count)
}

// StepBeyond returns the first step of which a single task, or the gang, requests more than the workspace's quota, so that it can
// never start, and false if there is none.
func StepBeyond(spec chutegraph.Spec, workspace chutecatalog.Workspace) (int, bool) {
	for i, step := range spec.Steps {
		need := step.Request
		if step.Gang {
			need = need.Times(step.Count)
		}
		if !fits(need, workspace.Limit, workspace.Limit) {
			return i, true
		}
	}
	return 0, false
}

// AnyLimit reports whether any workspace of the catalog has a quota.
func AnyLimit(catalog chutecatalog.Catalog) bool {
	return slices.ContainsFunc(catalog.Workspaces, func(w chutecatalog.Workspace) bool { return w.Limit != chutecapacity.Resources{} })
}
