package chutecrash

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteoutage"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chutetask"
)

// put stores the record of a task, and accuses the task if it may have to be given up.
func put(t *chuteledger.Transition, j chutetask.Job, id chutegraph.TaskID, crashes chutequarantine.Record) {
	j = j.WithCrashes(id, crashes)
	t.PutJob(j)
	if crashes.OnHold() {
		Accuse(t, id)
	}
}

// Accuse notes that the task may have to be given up.
func Accuse(t *chuteledger.Transition, id chutegraph.TaskID) {
	if !slices.Contains(t.Accused, id) {
		t.Accused = append(slices.Clone(t.Accused), id)
	}
}

// Judge finds the crashes that workers had together, and gives up the jobs of tasks that crash each worker that runs them.
func Judge(t *chuteledger.Transition) {
	if t.Outages.JudgementDue(t.Now) {
		judgeCrashes(t)
	}
	accused := t.Accused
	t.Accused = nil
	for _, id := range accused {
		j, ok := t.Job(id.Job)
		switch {
		case !ok || j.Phase.Ended() || !j.Crashes(id).OnHold():
		case j.Crashes(id).GivenUp(t.Now):
			giveUp(t, j, id)
		default:
			t.Accused = append(t.Accused, id)
		}
	}
}

// giveUp fails the job of a task.
func giveUp(t *chuteledger.Transition, j chutetask.Job, id chutegraph.TaskID) {
	t.Count("job-given-up", "crashes")
	t.Warn(component, "job failed: workers crash under its task", j.ID, "queue", j.Queue, "task", id, "runs-with-crash", j.Crashes(id).Runs())
	j = j.WithPhase(chutetask.PhaseFailed)
	t.PutJob(j)
	t.GivenUp = append(t.GivenUp, j)
}

// judgeCrashes records how likely the latest crashes under tasks were to come by chance, as crashes of other workers show.
func judgeCrashes(t *chuteledger.Transition) {
	t.Outages = t.Outages.WithPlaces(func(worker string) chuteoutage.Place {
		w, _ := t.Pool.Get(chutetask.WorkerID(worker))
		return placeOf(w)
	})
	evidence := chuteoutage.NewEvidence(t.Outages, listedWorkers(t), func(r chutegraph.RunID) chuteoutage.Before { return before(t, r) })
	var services []string
	for _, c := range t.Outages.Latest() {
		if evidence.Around(c).Together() && !slices.Contains(services, c.Place.Service) {
			services = append(services, c.Place.Service)
		}
	}
	for _, c := range t.Outages.Crashes() {
		if len(c.Runs) == 0 {
			continue
		}
		moment := evidence.Around(c)
		for _, run := range c.Runs {
			judgeCrash(t, c, run, moment)
		}
	}
	t.Outages = t.Outages.WithOutages(services, t.Now)
}

// judgeCrash records the chance of the crash under the run.
func judgeCrash(t *chuteledger.Transition, c chuteoutage.Crash, run chutegraph.RunID, moment chuteoutage.Moment) {
	j, ok := t.Job(run.Task.Job)
	if !ok || j.Phase.Ended() {
		return
	}
	step := j.Step(run.Task.StepID)
	known := j.Crashes(run.Task)
	suspect := chuteoutage.Suspect{Step: run.Task.StepID, Gang: step.Gang, Workers: 1, Suspicion: before(t, run).Suspicion, Alone: known.Quarantined(run.Number)}
	if step.Gang {
		suspect.Workers = step.Count
	}
	chance := moment.Chance(suspect)
	crashes, changed := known.WithChance(run.Number, member(j, run.Task), c.Worker, chance)
	if !changed {
		return
	}
	t.Count("crash-judged", "other-workers")
	t.Log(component, "worker crashed together with others", j.ID, "run", run, "worker", c.Worker, "chance", chance)
	put(t, j, run.Task, crashes)
	t.PlanDue = true
}

// before returns what is known of the run's task before the run.
func before(t *chuteledger.Transition, run chutegraph.RunID) chuteoutage.Before {
	j, ok := t.Job(run.Task.Job)
	if !ok || j.Phase.Ended() {
		return chuteoutage.Before{}
	}
	crashes := j.Crashes(run.Task)
	if crashes.Empty() {
		return chuteoutage.Before{}
	}
	all, suspicious := crashes.Earlier(member(j, run.Task), run.Number)
	return chuteoutage.Before{Crashes: all, Suspicion: suspicious}
}

// listedWorkers returns the listed workers with their runs.
func listedWorkers(t *chuteledger.Transition) []chuteoutage.Worker {
	var workers []chuteoutage.Worker
	for _, w := range t.Pool.All() {
		if !w.Listed {
			continue
		}
		worker := chuteoutage.Worker{Place: placeOf(w)}
		for _, r := range w.Runs() {
			worker.Runs = append(worker.Runs, r.ID)
		}
		workers = append(workers, worker)
	}
	return workers
}
