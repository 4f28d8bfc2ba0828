package chuteentry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteentry"
)

// hostRowWrites returns the conditions and processes of the writes of host rows among the effects.
func hostRowWrites(effects []chuteaction.Effect) []chuteaction.WriteRows {
	var writes []chuteaction.WriteRows
	for _, effect := range effects {
		if w, ok := effect.(chuteaction.WriteRows); ok && w.Put[0].RowKey == chuteaction.HostKey("a") {
			writes = append(writes, w)
		}
	}
	return writes
}

func TestALateHostRowOfAnEarlierProcessReplacesNoLaterOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	step := func(s chuteentry.State, event chuteaction.Event) (chuteentry.State, []chuteaction.WriteRows) {
		next, effects := chuteentry.Step(s, chuteaction.TimedEvent{At: now, Event: event})
		return next, hostRowWrites(effects)
	}
	s, writes := step(chuteentry.New(chuteentry.Settings{Host: "a", Process: "a-2"}), chuteaction.Tick{})
	is.Equal(len(writes), 1)
	is.Equal(writes[0].Conditions[0].Version, chuteaction.RowVersion(0)) // fails if there is a row

	earlier := chuteaction.Row{RowKey: chuteaction.HostKey("a"), Version: 7, Value: chuteaction.HostRow{Host: "a", Process: "a-1"}}
	s, writes = step(s, chuteaction.RowsWritten{Token: writes[0].Token, Outcome: chuteaction.StoreConflict, Current: []chuteaction.Row{earlier}})
	is.Equal(len(writes), 1)
	is.Equal(writes[0].Conditions[0].Version, chuteaction.RowVersion(7)) // fails once a later process has replaced that row

	own := chuteaction.Row{RowKey: chuteaction.HostKey("a"), Version: 9, Value: chuteaction.HostRow{Host: "a", Process: "a-2"}}
	_, writes = step(s, chuteaction.RowsWritten{Token: writes[0].Token, Outcome: chuteaction.StoreConflict, Current: []chuteaction.Row{own}})
	is.Equal(len(writes), 0)
}
