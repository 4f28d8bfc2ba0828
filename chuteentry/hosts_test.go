package chuteentry_test

import (
	"fmt"
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

// TestHostsRelayThroughDifferentPeers guards against one host's link that carries the requests of all hosts that the store turns away.
func TestHostsRelayThroughDifferentPeers(t *testing.T) {
	const hosts = 40
	var rows []chuteaction.Row
	for i := range hosts {
		name := fmt.Sprintf("host-%02d", i)
		rows = append(rows, chuteaction.Row{RowKey: chuteaction.HostKey(name), Version: 1, Value: chuteaction.HostRow{Host: name, Process: "p", Address: name}})
	}
	relayedBy := make(map[string]int)
	for i := range hosts {
		s := chuteentry.New(chuteentry.Settings{Host: fmt.Sprintf("host-%02d", i), Process: "p"})
		_, effects := chuteentry.Step(s, chuteaction.TimedEvent{
			At: time.Unix(1_800_000_000, 0), Event: chuteaction.TableChanged{Table: chuteaction.TableHosts, Complete: true, Rows: rows},
		})
		for _, effect := range effects {
			if peers, ok := effect.(chuteaction.SetPeers); ok {
				relayedBy[peers.Addresses[0]]++
				is.New(t).Equal(len(peers.Addresses), hosts-1)
			}
		}
	}
	for peer, count := range relayedBy {
		if count > hosts/8 {
			t.Errorf("%s is the first peer of %d of %d hosts", peer, count, hosts)
		}
	}
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
