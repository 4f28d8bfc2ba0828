package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteform"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// watchInterval is the time between two requests for the state of a watched job.
const watchInterval = 200 * time.Millisecond

// printReply prints the reply as text or JSON. It returns the result as an error unless the call ran.
func (e environment) printReply(reply chuteform.Reply, err error) error {
	if err != nil {
		return err
	}
	if e.json {
		encoded, err := json.Marshal(reply)
		if err != nil {
			return errors.WithStack(err)
		}
		e.printf("%s\n", encoded)
	} else {
		e.print(reply)
	}
	code := chuteresult.Code(reply.Result.Code)
	if code.Class() != chuteresult.ClassRan {
		return chuteresult.Result{Code: code, Detail: reply.Result.Detail}
	}
	return nil
}

// print prints each part of the reply that is present.
func (e environment) print(reply chuteform.Reply) {
	if reply.Job != nil {
		e.printJob(*reply.Job)
	}
	for _, cause := range reply.Causes {
		e.printf("  %s\n", cause)
	}
	for _, j := range reply.Jobs {
		e.printJob(j)
	}
	if reply.Document != nil {
		e.printDocument(*reply.Document)
	}
	for _, w := range reply.Workspaces {
		e.printWorkspace(w)
	}
	if len(reply.Uncounted) > 0 {
		e.printf("not counted in use and waiting: shards %v\n", reply.Uncounted)
	}
	if reply.Status != nil {
		e.printStatus(*reply.Status)
	}
	if reply.Result.Detail != "" {
		e.printf("%d %s: %s\n", reply.Result.Code, reply.Result.Name, reply.Result.Detail)
	}
}

func (e environment) printJob(j chuteform.Job) {
	state := j.Phase
	if j.Outcome != nil {
		state = fmt.Sprintf("%s (%d %s: %s)", j.Phase, j.Outcome.Code, j.Outcome.Name, j.Outcome.Detail)
	}
	e.printf("%s %s workspace %s shape %dx%d in %s attempt %d %s\n", j.ID, j.Spec.Name, j.Spec.Workspace,
		j.Spec.Parts, j.Spec.Accelerators, j.Spec.Within, j.Attempt, state)
	for i, p := range j.Parts {
		e.printf("  part %d on %s: %d accelerators, %s\n", i, p.Worker, p.Accelerators, p.State)
	}
}

func (e environment) printWorkspace(w chuteform.Workspace) {
	limit := "none"
	if w.Limit.Accelerators > 0 {
		limit = strconv.Itoa(w.Limit.Accelerators)
	}
	e.printf("%s team %s quota %d guaranteed %d limit %s weight %g in use %d, %d jobs waiting, guarantees: %s\n", w.Name, w.Team,
		w.Quota, w.Guaranteed, limit, w.Weight, w.InUse, w.Waiting, strings.Join(w.Guarantees, ", "))
}

func (e environment) printDocument(d chuteform.Document) {
	for _, w := range d.Warnings {
		e.printf("warning: %s\n", w)
	}
	for _, host := range d.UnconfirmedHosts {
		e.printf("not yet in force on: %s\n", host)
	}
}

func (e environment) printStatus(s chuteform.Status) {
	e.printf("entry host %s: document %d, proved current %s ago, store %s\n", s.Host, s.DocumentVersion,
		time.Duration(s.DocumentAge), s.Store)
	for _, h := range s.Hosts {
		e.printf("entry host %s at %s: live %t, linked %t, document %d\n", h.Host, h.FrontAddress, h.Live, h.Linked, h.DocumentVersion)
	}
	for _, sh := range s.Shards {
		e.printf("shard %d: owner %q epoch %d", sh.Shard, sh.Owner, sh.Epoch)
		if sh.OwnedHere {
			e.printf(", %d workers, %d of %d accelerators free, %d jobs waiting, %d running", sh.Workers, sh.FreeAccelerators,
				sh.UsableAccelerators, sh.WaitingJobs, sh.RunningJobs)
		}
		e.printf("\n")
		for _, lost := range sh.LostGuarantees {
			e.printf("  cannot honour %s\n", lost)
		}
	}
	for _, b := range s.Backends {
		e.printf("backend server %s of %s: %s, %d running, limit %d\n", b.Backend, b.Service, b.State, b.Running, b.Limit)
	}
}

// watchJob prints the job at each change of its phase or attempt until it ends. It returns the outcome as an error
// unless the job is done.
func (e environment) watchJob(id string) error {
	last := ""
	for {
		reply, err := e.client.ShowJob(id)
		if err != nil || reply.Job == nil {
			return e.printReply(reply, err)
		}
		state := fmt.Sprintf("%s attempt %d", reply.Job.Phase, reply.Job.Attempt)
		if state != last {
			last = state
			if err := e.printReply(reply, nil); err != nil {
				return err
			}
		}
		if reply.Job.Outcome != nil {
			outcome := reply.Job.Outcome
			if outcome.Code != int(chuteresult.Done) {
				return chuteresult.Result{Code: chuteresult.Code(outcome.Code), Detail: outcome.Detail}
			}
			return nil
		}
		timer := time.NewTimer(watchInterval)
		<-timer.C
	}
}
