package chuteadmission

import (
	"monsoonchute.example/monsoonchute/chutebacklog"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutejob"
)

// Admit decides whether the shard has memory for a job beside those that it has, ended ones included, as their answers are kept.
func Admit(t *chutegang.Transition, spec chutejob.Spec) chutebacklog.Verdict {
	used := make(map[string]int64)
	for _, jobs := range [][]chutejob.Job{t.State.Live(), t.State.Ended()} {
		for _, j := range jobs {
			used[j.Spec.Workspace] += chutebacklog.CostOfText(len(j.Spec.Command))
		}
	}
	report := chutebacklog.NewReport(t.Environment.JobBytes, used)
	_, verdict := chutebacklog.Credit{}.WithReport(chutebacklog.ReportID{}, report, 1).Admit(spec.Workspace, chutebacklog.CostOfText(len(spec.Command)))
	return verdict
}
