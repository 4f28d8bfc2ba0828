package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteexplain"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// Explain returns what a planning pass would decide about a job now. The error is a chuteresult.Result.
func (s State) Explain(now time.Time, environment chuteledger.Environment, e chuteaction.ExplainRequested) (chuteaction.JobExplanation, error) {
	if !s.Ready() {
		return chuteaction.JobExplanation{}, chuteresult.New(chuteresult.NotReady, "the leader has not read all jobs and workers yet")
	}
	return chuteexplain.Explain(chuteexplain.View{Now: now, Ledger: s.runner, Environment: environment, Planner: s.planner}, e)
}
