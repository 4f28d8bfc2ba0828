package chutewire_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutelimit"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
	"monsoonchute.example/monsoonchute/chutewire"
)

func sampleJob() chutejob.Job {
	spec := chutejob.Spec{Name: "n", Workspace: "w", Shape: chutetopology.Shape{Parts: 2, Accelerators: 4, Within: chutetopology.LevelRack}}
	now := time.Date(2026, 1, 2, 3, 4, 5, 600, time.UTC)
	return chutejob.New("0001-x", spec, now).
		WithGrant(chutejob.PhaseClaiming, []chutetopology.Block{{Worker: "a", Mask: 15}, {Worker: "b", Mask: 240}}, true, now).
		WithReserved([]string{"1", "2"}, now)
}

func rows() []chutetable.Row {
	return []chutetable.Row{
		chutetable.HostRow{Host: "h", PeerAddress: "127.0.0.1:1", BootID: "b", RenewalCount: 3, Leaving: true},
		chutetable.ShardRow{Shard: 1, Owner: "h", BootID: "b", Epoch: 4},
		chutetable.JobRow{Job: sampleJob()},
		chutetable.DocumentRow{Document: chutedocument.New()},
		chutetable.LimitRow{Ledger: chutelimit.Ledger{Workspace: "w", Since: 1, Version: 2, Entries: []chutelimit.Entry{{Shard: 1, Accelerators: 3}}}},
		chutetable.IntentRow{RequestID: "r", Digest: 7, Finished: true, Result: chuteresult.New(chuteresult.Done, "d"), Answer: chutetable.Answer{Status: 200, Body: []byte("x")}},
	}
}

func messages() []chuteevent.PeerMessage {
	return []chuteevent.PeerMessage{
		chuteevent.Heartbeat{Sequence: 1, DocumentVersion: 2},
		chuteevent.HeartbeatAnswer{Sequence: 1, DocumentVersion: 2, DocumentAge: time.Second, Leaving: []string{"b"}},
		chuteevent.ForwardCall{ID: 9, RequestID: "r", Call: chutecall.SubmitJob{Job: "j", Spec: sampleJob().Spec}},
		chuteevent.ForwardReply{ID: 9, Reply: chutecall.JobReply{Job: sampleJob()}},
		chuteevent.ForwardReply{ID: 9, Reply: chutecall.UseReply{Workspaces: map[string]chutecall.WorkspaceUse{"w": {InUse: 2, Waiting: 1}}}},
		chuteevent.ShardReleased{Shard: 3},
		chuteevent.DocumentChanged{DocumentVersion: 4},
	}
}

func TestRowsRoundTrip(t *testing.T) {
	for _, row := range rows() {
		is := is.New(t)
		encoded, err := chutewire.EncodeRow(row)
		is.NoErr(err)
		decoded, err := chutewire.DecodeRow(encoded)
		is.NoErr(err)
		is.Equal(decoded, row)
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, message := range messages() {
		is := is.New(t)
		encoded, err := chutewire.EncodeMessage(message)
		is.NoErr(err)
		decoded, err := chutewire.DecodeMessage(encoded)
		is.NoErr(err)
		is.Equal(decoded, message)
	}
}

func FuzzDecodeMessage(f *testing.F) {
	for _, message := range messages() {
		encoded, err := chutewire.EncodeMessage(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message, err := chutewire.DecodeMessage(encoded)
		if err != nil {
			return
		}
		if _, err := chutewire.EncodeMessage(message); err != nil {
			t.Fatalf("%v was decoded but cannot be encoded again: %v", message, err)
		}
	})
}

func FuzzDecodeRow(f *testing.F) {
	for _, row := range rows() {
		encoded, err := chutewire.EncodeRow(row)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		row, err := chutewire.DecodeRow(encoded)
		if err != nil {
			return
		}
		if _, err := chutewire.EncodeRow(row); err != nil {
			t.Fatalf("%v was decoded but cannot be encoded again: %v", row, err)
		}
	})
}
