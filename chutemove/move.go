package chutemove

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// interval is the time between two searches for moves.
	interval = 250 * time.Millisecond
	// maxMoves is the number of gangs and tasks that a search moves at most, 16 a second.
	maxMoves = 4
	// maxMovesOfTask is how often a task or gang is moved at most: once, and once more if its new place becomes slow too.
	maxMovesOfTask = 2
)

// State is the immutable state of the moves.
type State struct {
	searchedAt time.Time
	moves      *immutable.SortedMap[chutegraph.JobID, map[chutegraph.TaskID]int] // by job; the inner maps are never modified
}

// New returns the state before any moves.
func New() State {
	return State{moves: immutable.NewSortedMap[chutegraph.JobID, map[chutegraph.TaskID]int](chutegraph.JobOrder{})}
}

// candidate is a task, or a gang by its first member, that may be moved.
type candidate struct {
	id     chutegraph.TaskID
	job    chutetask.Job
	worker chutetask.WorkerID // the slow one
	gain   time.Duration
}

// Tick moves, now and then, gangs and tasks that slow workers hold up, where there is room for them elsewhere now.
func (s State) Tick(t *chuterunner.Transition) State {
	if t.Now.Sub(s.searchedAt) < interval {
		return s
	}
	s.searchedAt = t.Now
	s = s.withoutEndedJobs(t)
	found := s.candidates(t)
	if len(found) == 0 {
		return s
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(t.Priority(a.job), t.Priority(b.job)), cmp.Compare(b.gain, a.gain))
	})
	for _, c := range withRoom(t, found[:min(len(found), maxMoves)]) {
		s = s.move(t, c)
	}
	return s
}

// withoutEndedJobs returns the state without the moves of jobs that have ended.
func (s State) withoutEndedJobs(t *chuterunner.Transition) State {
	for i := s.moves.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		if _, live := t.Live.Get(id); !live {
			s.moves = s.moves.Delete(id)
		}
	}
	return s
}

// movesOf returns how often the task or gang was moved.
func (s State) movesOf(id chutegraph.TaskID) int {
	moves, _ := s.moves.Get(id.Job)
	return moves[id]
}

// candidates returns the tasks and gangs with a run on a slow worker whose move is worth it. A gang is judged by its slowest member.
func (s State) candidates(t *chuterunner.Transition) []candidate {
	gangs := make(map[chutegraph.StepID]candidate)
	var found []candidate
	for _, w := range t.Pool.All() {
		record := t.Outliers.Of(w.ID)
		if !record.Slow(t.Now) {
			continue
		}
		for _, r := range w.Runs() {
			c, ok := s.judge(t, w, r, record.Speed())
			switch {
			case !ok:
			case !c.job.Step(c.id.StepID).Gang:
				found = append(found, c)
			case gangs[c.id.StepID].gain < c.gain:
				gangs[c.id.StepID] = c
			}
		}
	}
	for _, c := range gangs {
		found = append(found, c)
	}
	slices.SortFunc(found, func(a, b candidate) int { return a.id.Compare(b.id) })
	return found
}

// judge returns the candidate that the run on a slow worker makes, and false if its move is not possible or not worth it.
func (s State) judge(t *chuterunner.Transition, w chutepool.Worker, r chutepool.Run, speed float64) (candidate, bool) {
	id := r.ID.Task
	j, ok := t.Live.Get(id.Job)
	if !ok || r.Phase != chutepool.RunStarted || r.Quarantined || r.Pace() < chutepool.FullPace || !t.Expected(w.ID, r.ID) {
		return candidate{}, false
	}
	step := j.Step(id.StepID)
	rate, known := t.Speeds.UsualRate(id.StepID)
	if !known || step.LongRunning || step.Gang && !allStarted(t, j, id.StepID) {
		return candidate{}, false
	}
	if step.Gang {
		id.Index = 0
	}
	gain, worth := workOf(r, step, rate, speed, t.Now).Gain()
	return candidate{id: id, job: j, worker: w.ID, gain: gain}, worth && s.movesOf(id) < maxMovesOfTask
}

// allStarted reports whether the workers of all members of a gang have confirmed their runs.
func allStarted(t *chuterunner.Transition, j chutetask.Job, id chutegraph.StepID) bool {
	for i, task := range j.Tasks(id) {
		run := chutegraph.RunID{Task: chutegraph.TaskID{StepID: id, Index: i}, Number: task.Run}
		if _, r, ok := t.Pool.FindRun(task.Worker, run); !ok || r.Phase != chutepool.RunStarted || r.Quarantined {
			return false
		}
	}
	return true
}

// withRoom returns those of the candidates for which there is room elsewhere now, all at once. Slow workers are no such room.
func withRoom(t *chuterunner.Transition, found []candidate) []candidate {
	usable := slices.DeleteFunc(chutecandidate.Usable(t.Transition, nil), func(w chuteplacement.Worker) bool {
		return w.MaxStarts > 0
	})
	var demands []chuteplacement.Demand
	for _, c := range found {
		demands = append(demands, demand(t, c))
	}
	placed := make(map[chutegraph.TaskID]bool)
	for _, decision := range chuteplacement.Plan(chuteplacement.View{Now: t.Now, Workers: usable, Demands: demands}) {
		switch d := decision.(type) {
		case chuteplacement.Start:
			placed[d.Task] = true
		case chuteplacement.Evict, chuteplacement.Nominate:
		}
	}
	return slices.DeleteFunc(found, func(c candidate) bool { return !placed[c.id] })
}

// demand returns the demand of the candidate for another place.
func demand(t *chuterunner.Transition, c candidate) chuteplacement.Demand {
	d := chuteplacement.Demand{
		ID: c.id.StepID, Step: c.job.Step(c.id.StepID), Service: t.Service(c.job), Priority: t.Priority(c.job),
		Indexes: []int{c.id.Index}, TasksByWorker: make(map[chutetask.WorkerID]int),
	}
	for i, task := range c.job.Tasks(c.id.StepID) {
		switch {
		case d.Step.Gang && i != c.id.Index:
			d.Indexes = append(d.Indexes, i)
		case !d.Step.Gang && task.Phase == chutetask.TaskActive:
			d.TasksByWorker[task.Worker]++
		}
	}
	if q, ok := t.Environment.Catalog.Queue(c.job.Queue); ok && q.Approval != nil {
		d.Tickets = make(map[chutetask.WorkerID]string) // without an approval for another place there is none
	}
	return d
}

// move stops the runs of the task or gang, which then waits for its new place.
func (s State) move(t *chuterunner.Transition, c candidate) State {
	t.Count("run-moved", c.job.Queue)
	t.Log(component, "work leaves a slow worker", c.job.ID, "task", c.id, "worker", c.worker, "gain", c.gain, "moves", s.movesOf(c.id))
	for i, task := range c.job.Tasks(c.id.StepID) {
		if i == c.id.Index || c.job.Step(c.id.StepID).Gang {
			run := chutegraph.RunID{Task: chutegraph.TaskID{StepID: c.id.StepID, Index: i}, Number: task.Run}
			t.StopRun(task.Worker, run, "moved")
		}
	}
	moves := make(map[chutegraph.TaskID]int)
	known, _ := s.moves.Get(c.id.Job)
	for id, n := range known {
		moves[id] = n
	}
	moves[c.id]++
	s.moves = s.moves.Set(c.id.Job, moves)
	return s
}
