package soak_test

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/platform/standin"
)

const (
	// standingLimit is the longest time for which a job may have nothing running though it could run twice over.
	standingLimit = 3 * time.Second
	// calmBefore is the time without faults before the standing that counts.
	calmBefore = 4 * time.Second
)

// standing is a time in which a job has nothing running though it could run twice over.
type standing struct {
	since    time.Duration
	reported bool
}

// turn is the step of a job of which a task's turn has come while nothing of the job runs.
type turn struct {
	job
	step int
}

// size returns the number of tasks that have to start together.
func (u turn) size() int {
	if u.gang() {
		return u.tasks[u.step]
	}
	return 1
}

// String describes the turn for reports.
func (u turn) String() string {
	return fmt.Sprintf("%s.%d (queue %s, priority %d, accepted at %s, %d of %d tasks at once, %+v each, same rack %t, spread %d)",
		u.id, u.step, u.queue, u.priority(), u.acceptedAt.Round(time.Millisecond), u.size(), u.tasks[u.step], u.need, u.sameRack, u.spread)
}

// room is what the workers that take runs have left, as seen on the workers.
type room struct {
	workers []freeWorker
	used    standin.Resources
	total   standin.Resources
}

type freeWorker struct {
	id, rack  string
	free, all standin.Resources
}

// checkStanding looks at all jobs now and reports those that have stood for too long.
func (r *soakRun) checkStanding() {
	now := r.platform.Since()
	turns, room := r.turnsAndRoom()
	calm, ended := r.isCalm(now, standingLimit+calmBefore)
	quiet, _ := r.isCalm(now, standingLimit)
	counts := calm || ended && quiet && room.underHalf()
	stands := make(map[string]bool)
	for _, u := range turns {
		if room.copies(u) < 2 {
			continue
		}
		stands[u.id] = true
		s := r.standing[u.id]
		if s == nil {
			s = &standing{since: now}
			r.standing[u.id] = s
		}
		if !s.reported && counts && now-s.since >= standingLimit {
			s.reported = true
			r.ledger.reportViolation("job %s had nothing running from %s to %s, with room for %d copies, calm %t, under half in use %t",
				u, s.since, now, room.copies(u), calm, room.underHalf())
			r.note("while %s stood: %s; waiting beside it: %s", u.id, room, waitingBeside(u, turns, room))
		}
	}
	for id, s := range r.standing {
		if stands[id] {
			continue
		}
		if now-s.since > time.Second {
			r.note("job %s stood from %s to %s", id, s.since, now)
		}
		delete(r.standing, id)
	}
}

// turnsAndRoom returns the jobs that have nothing running though a task's turn has come, and the room on the workers.
func (r *soakRun) turnsAndRoom() ([]turn, room) {
	jobs := r.openJobs()
	ended, running := make(map[string]bool), make(map[string]bool)
	used := make(map[string]standin.Resources)
	for _, e := range r.platform.Executions() {
		id, _, _ := strings.Cut(e.Task, ".")
		switch e.Outcome {
		case "done":
			ended[e.Task] = true
		case "":
			running[id] = true
			used[e.Worker] = plus(used[e.Worker], r.needOf(id), 1)
		}
	}
	var turns []turn
	for _, j := range jobs {
		if step, ok := openStep(j, ended); ok && !running[j.id] {
			turns = append(turns, turn{job: j, step: step})
		}
	}
	var left room
	for _, w := range r.platform.Workers() {
		capacities := w.Capacities()
		all := capacities[len(capacities)-1].Resources
		left.total, left.used = plus(left.total, all, 1), plus(left.used, used[w.ID()], 1)
		if w.Ready() {
			left.workers = append(left.workers, freeWorker{w.ID(), w.Place().Rack, plus(all, used[w.ID()], -1), all})
		}
	}
	return turns, left
}

// openJobs returns the accepted jobs that nobody has asked to cancel.
func (r *soakRun) openJobs() []job {
	r.ledger.mutex.Lock()
	defer r.ledger.mutex.Unlock()
	var list []job
	for _, j := range r.ledger.inOrder {
		if j.acceptedAt > 0 && !j.cancelRequested {
			list = append(list, *j)
		}
	}
	return list
}

func (r *soakRun) needOf(id string) standin.Resources {
	r.ledger.mutex.Lock()
	defer r.ledger.mutex.Unlock()
	if j := r.ledger.jobs[id]; j != nil {
		return j.need
	}
	return standin.Resources{}
}

// openStep returns the first step of the job with a task that has not ended, and whether there is one.
func openStep(j job, ended map[string]bool) (int, bool) {
	for step, count := range j.tasks {
		for index := range count {
			if !ended[j.id+".0."+strconv.Itoa(step)+"."+strconv.Itoa(index)] {
				return step, true
			}
		}
	}
	return 0, false
}

// copies returns how many copies of what must start together certainly fit: rack by rack, if the job's tasks ask for one
// rack and a rack could hold them.
func (m room) copies(u turn) int {
	fits, fitsEmpty := make(map[string]int), make(map[string]int)
	for _, w := range m.workers {
		fits[w.rack] += tasksOn(u, w.free)
		fitsEmpty[w.rack] += tasksOn(u, w.all)
	}
	total, whole, rackCanHold := 0, 0, false
	for rack, n := range fits {
		total += n
		whole += n / u.size()
		rackCanHold = rackCanHold || fitsEmpty[rack] >= u.size()
	}
	if u.sameRack && rackCanHold {
		return whole
	}
	return total / u.size()
}

// underHalf reports whether less than half of each resource is in use.
func (m room) underHalf() bool {
	twice := plus(m.used, m.used, 1)
	return twice.CPU < m.total.CPU && twice.MemoryMB < m.total.MemoryMB && twice.Accelerators < m.total.Accelerators
}

func tasksOn(u turn, free standin.Resources) int {
	if n := copiesIn(free, u.need); u.spread == 0 || n < u.spread {
		return n
	}
	return u.spread
}

// String describes the room for reports.
func (m room) String() string {
	racks := make(map[string]string)
	for _, w := range m.workers {
		racks[w.rack] += fmt.Sprintf(" %s:%d/%d/%d", w.id, w.free.CPU/1000, w.free.MemoryMB/1000, w.free.Accelerators)
	}
	return fmt.Sprintf("in use %+v of %+v, free cores/GB/accelerators on %d workers: %v", m.used, m.total, len(m.workers), racks)
}

// waitingBeside describes the demands that may have taken the room: those of the same or a more urgent priority, and larger
// ones, from the oldest on.
func waitingBeside(u turn, turns []turn, m room) string {
	var list []string
	slices.SortStableFunc(turns, func(a, b turn) int { return cmp.Compare(a.acceptedAt, b.acceptedAt) })
	for _, other := range turns {
		larger := other.size()*other.need.Accelerators > u.size()*u.need.Accelerators
		if other.id != u.id && (other.priority() <= u.priority() || larger) {
			list = append(list, fmt.Sprintf("%s with room for %d", other, m.copies(other)))
		}
	}
	return strings.Join(list, ", ")
}

// note keeps a line for the report of a failed run.
func (r *soakRun) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.notes = append(r.notes, fmt.Sprintf("%s ", r.platform.Since().Round(time.Millisecond))+fmt.Sprintf(format, arguments...))
}
