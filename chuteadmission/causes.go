package chuteadmission

import (
	"fmt"

	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutejob"
)

// Causes returns why the job waits, as texts for the operator. For a job that does not wait it returns the phase. The
// text limit says why the limit of its workspace holds the job back; it is empty if it does not.
func Causes(t *chutegang.Transition, j chutejob.Job, limit string) []string {
	if j.Phase != chutejob.PhaseWaiting {
		return []string{fmt.Sprintf("phase: %s since %s", j.Phase, t.Now().Sub(j.PhaseSince).Round(1e6))}
	}
	var causes []string
	if !t.Environment.MayStart {
		causes = append(causes, "owner: its lease or its document is not proved current; it starts nothing until the store answers")
	}
	if refusal, never := Rejection(t, j.Spec); never {
		causes = append(causes, "never: "+refusal.Detail)
	}
	if limit != "" {
		causes = append(causes, limit)
	}
	free, usable := t.State.Inventory.Free(), t.State.Inventory.Usable()
	if _, fits := usable.Place(j.Spec.Shape); !fits {
		causes = append(causes, fmt.Sprintf("workers: %d accelerators are usable and %s fits none of their blocks; a zone or suspected workers must return",
			usable.Total(), j.Spec.Shape))
	} else if _, fits := free.Place(j.Spec.Shape); !fits {
		causes = append(causes, fmt.Sprintf("shape: %d accelerators are free, but no free blocks hold %s; running work must end or yield",
			free.Total(), j.Spec.Shape))
	}
	if _, fits := t.State.Inventory.Spare().Place(j.Spec.Shape); len(causes) == 0 && !fits && !j.Spec.Restartable() {
		causes = append(causes, "guarantees: the job must not run twice, so it waits for accelerators that no guarantee may reclaim")
	}
	if len(causes) == 0 {
		causes = append(causes, "turn: it starts with the next planning pass, unless its quota is in use")
	}
	return causes
}
