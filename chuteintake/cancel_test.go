package chuteintake_test

import (
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// TestAJobThatWasOnlyCancelledIsNotShown guards against a state that is shown of a job which was never accepted, and against its
// acceptance later.
func TestAJobThatWasOnlyCancelledIsNotShown(t *testing.T) {
	is := is.New(t)
	cancelled, written := serve(t, chuteaction.CancelJob{}, nil)
	is.Equal(cancelled.Result.Code, chuteresult.UnknownJob)
	is.Equal(len(written), 1)
	shown, _ := serve(t, chuteaction.ShowJob{}, written)
	is.Equal(shown.Result.Code, chuteresult.UnknownJob)
	again, rewritten := serve(t, chuteaction.CancelJob{}, written)
	is.Equal(again.Result.Code, chuteresult.UnknownJob)
	is.Equal(len(rewritten), 0)
	submission := chuteaction.SubmitJob{Spec: chutegraph.Spec{Steps: []chutegraph.Step{{Count: 1, Request: chutecapacity.Resources{Processor: 1}}}}}
	late, recorded := serve(t, submission, written)
	is.Equal(late.Result.Code, chuteresult.Cancelled)
	is.Equal(len(recorded), 0)
}
