package chuteintake_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteintake"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// arrival returns the effects of a call to a queue, on a host whose view has the numbers of pending jobs, and the state then.
func arrival(path string, request chuteaction.Call, pending map[string]int, partial bool) (*chuteaction.Transition, chuteintake.State) {
	t := chuteaction.NewTransition(time.Unix(1_800_000_000, 0), 0)
	view := chuteintake.View{
		StoreReachable: true, CatalogCurrent: true, Pending: pending, PendingPartial: partial, PendingCurrent: true,
		Catalog: chutecatalog.Catalog{Version: 1, Queues: []chutecatalog.Queue{{Name: "normal", Host: "q.example", PathPrefix: "/normal/", Public: true}}},
	}
	return t, chuteintake.New().HandleCallArrived(t, view, chuteaction.CallArrived{
		ID: 1, Deadline: t.Now.Add(3 * time.Second), Host: "q.example", Path: path, Call: request,
	})
}

func answered(t *chuteaction.Transition) (chuteaction.AnswerCall, bool) {
	for _, effect := range t.Effects {
		if a, ok := effect.(chuteaction.AnswerCall); ok {
			return a, true
		}
	}
	return chuteaction.AnswerCall{}, false
}

// TestAQueueThatTheLeadersRowLeavesOutIsNotShownAsEmpty guards against an answer that no job waits since the row has no room for the
// numbers of all queues.
func TestAQueueThatTheLeadersRowLeavesOutIsNotShownAsEmpty(t *testing.T) {
	for _, c := range []struct {
		name    string
		pending map[string]int
		partial bool
		want    chuteresult.Code
	}{
		{"left out", map[string]int{"other": 7}, true, chuteresult.NotReady},
		{"named", map[string]int{"normal": 3}, true, chuteresult.Done},
		{"empty", map[string]int{"other": 7}, false, chuteresult.Done},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			transition, _ := arrival("/normal/", chuteaction.ShowJob{}, c.pending, c.partial)
			answer, ok := answered(transition)
			is.True(ok)
			is.Equal(answer.Result.Code, c.want)
		})
	}
}

// TestAJobThatTheStoreRejectsIsRefusedAtOnce guards against a call that is held until its deadline while the store refuses the same row
// again and again.
func TestAJobThatTheStoreRejectsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	step := chutegraph.Step{Count: 1, Request: chutecapacity.Resources{Processor: 1000}}
	submit := chuteaction.SubmitJob{Spec: chutegraph.Spec{Steps: []chutegraph.Step{step}}}
	transition, s := arrival("/normal/"+string(jobID), submit, nil, false)
	write, ok := transition.Effects[len(transition.Effects)-1].(chuteaction.WriteRows)
	is.True(ok)
	s, _ = s.HandleRowsWritten(transition, chuteaction.RowsWritten{Token: write.Token, Outcome: chuteaction.StoreRejected})
	answer, ok := answered(transition)
	is.True(ok)
	is.Equal(answer.Result.Code, chuteresult.Malformed)
	is.Equal(answer.Result.Code.Class(), chuteresult.ClassNotRun)
	is.Equal(s.Len(), 0)
}
