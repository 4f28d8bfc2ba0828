package chuteledger

import (
	"maps"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// WithholdEndsOf keeps the worker's ended runs from being acknowledged if one is of a job that is set aside: its end is not recorded.
func (t *Transition) WithholdEndsOf(worker chutetask.WorkerID, job chutegraph.JobID) {
	if !t.SetAside[job] || t.Withheld[worker] {
		return
	}
	withheld := make(map[chutetask.WorkerID]bool, len(t.Withheld)+1)
	maps.Copy(withheld, t.Withheld)
	withheld[worker] = true
	t.Withheld = withheld
}
