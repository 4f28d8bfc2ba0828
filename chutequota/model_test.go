package chutequota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutequota"
	"monsoonchute.example/monsoonchute/chutesimulation"
	"monsoonchute.example/monsoonchute/chutetask"
)

// day is a simulated day of one leader after another, beside a plain list of what runs.
type day struct {
	random  *rand.Rand
	catalog chutecatalog.Catalog
	pool    chutepool.Pool
	runs    []modelRun
	step    int
}

// modelRun is a run that may be running, as a leader records it.
type modelRun struct {
	run    chutepool.Run
	worker chutetask.WorkerID
}

func newDay(seed uint64) *day {
	d := &day{random: rand.New(rand.NewPCG(seed, 47)), pool: chutepool.New()}
	for i := range 5 {
		d.pool = d.pool.With(chutepool.NewWorker(chutepool.Listing{ID: chutetask.WorkerID(fmt.Sprint("w", i)), Service: "s"}, time.Time{}))
	}
	for _, name := range []string{"a", "b", "free"} {
		d.catalog.Workspaces = append(d.catalog.Workspaces, chutecatalog.Workspace{Name: name})
	}
	d.changeQuotas()
	return d
}

// changeQuotas gives each workspace but the last another quota.
func (d *day) changeQuotas() {
	d.catalog.Workspaces = slices.Clone(d.catalog.Workspaces)
	for i := range d.catalog.Workspaces[:2] {
		d.catalog.Workspaces[i].Limit = chutecapacity.Resources{Processor: 4000 * d.random.IntN(8), Accelerators: d.random.IntN(20)}
	}
}

func (d *day) quotas() chutequota.Quotas {
	return chutequota.New(d.catalog, chutequota.NewLedger(d.pool.All(), false))
}

// used returns what the workspace's runs request by the plain list.
func (d *day) used(workspace string) chutecapacity.Resources {
	var used chutecapacity.Resources
	for _, m := range d.runs {
		if m.run.Workspace == workspace {
			used = used.Plus(m.run.Request)
		}
	}
	return used
}

// start starts as many tasks of a random request as the quotas allow, or a gang whole, and checks the use after each.
func (d *day) start(t *testing.T) {
	d.step++
	w := d.catalog.Workspaces[d.random.IntN(len(d.catalog.Workspaces))]
	each := chutecapacity.Resources{Processor: 1000 * d.random.IntN(4), Memory: 1000, Accelerators: d.random.IntN(3)}
	step := chutegraph.StepID{Job: chutegraph.JobID(fmt.Sprint("j", d.step))}
	request := chutequota.Request{Workspace: w.Name, Step: step, Each: each, Tasks: 1 + d.random.IntN(5)}
	quotas := d.quotas()
	count := quotas.Copies(request)
	if gang := d.random.IntN(2) == 0; gang && quotas.Allows(request) {
		count = request.Tasks
	} else if gang {
		count = 0
	}
	for i := range count {
		id := chutetask.WorkerID(fmt.Sprint("w", d.random.IntN(5)))
		run := chutepool.Run{ID: chutegraph.RunID{Task: chutegraph.TaskID{StepID: step, Index: i}, Number: 1}, Workspace: w.Name, Request: each}
		d.put(id, run.WithPhase(chutepool.RunPlanned, time.Time{}))
		d.runs = append(d.runs, modelRun{run: run, worker: id})
		used := d.used(w.Name)
		if above(each.Accelerators, used.Accelerators, w.Limit.Accelerators) || above(each.Processor, used.Processor, w.Limit.Processor) {
			t.Fatalf("a start of %v raises %s to %v above its quota %v", each, w.Name, used, w.Limit)
		}
	}
}

// above reports whether a start that needs some of a resource has raised its use above the limit.
func above(need, used, limit int) bool {
	return need > 0 && limit > 0 && used > limit
}

func (d *day) put(id chutetask.WorkerID, run chutepool.Run) {
	w, _ := d.pool.Get(id)
	d.pool = d.pool.With(w.WithRun(run))
}

// advance moves a random run to a random phase, or ends it.
func (d *day) advance() {
	if len(d.runs) == 0 {
		return
	}
	i := d.random.IntN(len(d.runs))
	m := d.runs[i]
	if d.random.IntN(3) > 0 {
		d.put(m.worker, m.run.WithPhase(chutepool.RunPhase(1+d.random.IntN(5)), time.Time{}))
		return
	}
	w, _ := d.pool.Get(m.worker)
	d.pool = d.pool.With(w.WithoutRun(m.run.ID).WithoutRun(m.run.ID)) // the end may be reported twice
	d.runs = slices.Delete(d.runs, i, i+1)
}

// takeOver lets another leader begin with an empty pool and what has been recorded.
func (d *day) takeOver() {
	for _, w := range d.pool.All() {
		d.pool = d.pool.With(chutepool.NewWorker(w.Listing, time.Time{}))
	}
	for _, m := range d.runs {
		run := m.run
		run.Inherited = true
		d.put(m.worker, run.WithPhase(chutepool.RunOrdered, time.Time{}))
	}
}

// TestNoStartRaisesAWorkspaceAboveItsQuota plays random starts, ends, takeovers and changes of quotas against a plain list of runs. It
// guards against a ledger that counts a run twice, not at all, or after its end.
func TestNoStartRaisesAWorkspaceAboveItsQuota(t *testing.T) {
	for _, seed := range chutesimulation.Seeds(1, 40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			d := newDay(seed)
			for range 400 {
				switch d.random.IntN(20) {
				case 0:
					d.changeQuotas()
				case 1:
					d.takeOver()
				case 2, 3, 4, 5, 6, 7, 8:
					d.start(t)
				default:
					d.advance()
				}
				ledger := chutequota.NewLedger(d.pool.All(), false)
				for _, w := range d.catalog.Workspaces {
					if got := ledger.Use(w.Name).Requested; got != d.used(w.Name) {
						t.Fatalf("%s uses %v by the ledger, and %v by the runs", w.Name, got, d.used(w.Name))
					}
				}
			}
		})
	}
}
