package chutesimulation

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// crashGoal, handOverGoal and changeGoal are the users' bounds.
	crashGoal    = 10 * time.Second
	handOverGoal = time.Second
	changeGoal   = 3 * time.Second
)

// owner returns the host that owns the shard, -1 if none does.
func (r *Simulation) owner(shard int) int {
	for i, h := range r.Hosts {
		if _, owns := h.State.Shard(shard); owns && h.alive && h.State.MayStart(r.Now) {
			return i
		}
	}
	return -1
}

// ownerless runs until another host owns the shard and returns how long that took.
func (r *Simulation) ownerless(shard, before int) time.Duration {
	begin := r.Now
	for r.Now.Sub(begin) < time.Minute {
		if now := r.owner(shard); now >= 0 && now != before {
			break
		}
		r.Run(10 * time.Millisecond)
	}
	return r.Now.Sub(begin)
}

// TestOwnersAreReplacedInTime takes the owner of a shard away, by a crash and by a planned stop, while a job runs that
// must not run twice, and holds the time without an owner against the bound and the job against its end.
func TestOwnersAreReplacedInTime(t *testing.T) {
	cases := []struct {
		name string
		goal time.Duration
		take func(*Simulation, int)
	}{
		{"crash", crashGoal, func(r *Simulation, n int) { r.Crash(n) }},
		{"planned stop", handOverGoal, func(r *Simulation, n int) { r.Stop(n) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var longest time.Duration
			for _, seed := range Seeds(1, 10) {
				h := newHistory(2*seed, 8)
				r := h.rig
				spec := chutejob.Spec{Name: "j", Workspace: "a", Command: "run 25s", Shape: chutetopology.Shape{
					Parts: 2, Accelerators: 4, Within: chutetopology.LevelRack,
				}}
				r.Call(0, chutecall.SubmitJob{Job: "j", Spec: spec})
				r.Run(time.Duration(3000+seed*37) * time.Millisecond)
				before := r.owner(0)
				c.take(r, before)
				longest = max(longest, r.ownerless(0, before))
				r.Run(time.Minute)
				r.CheckEnds(r.Jobs())
				is.Equal(r.Faulty, "")
				is.Equal(len(r.Jobs()), 1)
				is.Equal(r.Jobs()[0].Result.Code, chuteresult.Done) // the job went on without an owner
				is.Equal(r.Jobs()[0].Attempt, 1)
			}
			t.Logf("longest time without an owner: %s", longest)
			is.True(longest <= c.goal)
		})
	}
}

// TestChangesAreInForceInTime makes changes through random hosts and measures when the last host has each.
func TestChangesAreInForceInTime(t *testing.T) {
	is := is.New(t)
	var times []time.Duration
	for _, seed := range Seeds(1, 10) {
		h := newHistory(seed, 8)
		r := h.rig
		for i := range 50 {
			zone := chutedocument.Zone{Name: "zone-a", Out: i%2 == 0}
			h.apply(h.host(), chutedocument.Change{Team: "ops", SetZone: &zone})
			begin := r.Now
			version := len(r.accepted) + 1
			for !r.everywhere(version) && r.Now.Sub(begin) < time.Minute {
				r.Run(5 * time.Millisecond)
			}
			times = append(times, r.Now.Sub(begin))
		}
		is.Equal(r.Faulty, "")
	}
	slices.Sort(times)
	t.Logf("in force everywhere: p50 %s, p99 %s, max %s", times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
	is.True(times[len(times)*99/100] < changeGoal)
}

func (r *Simulation) everywhere(version int) bool {
	for _, h := range r.Hosts {
		if h.State.Document().Version < version {
			return false
		}
	}
	return true
}

// TestAStoreOutageStopsNoRunningJob takes the store away for an hour.
func TestAStoreOutageStopsNoRunningJob(t *testing.T) {
	is := is.New(t)
	h := newHistory(2, 3)
	r := h.rig
	spec := chutejob.Spec{Name: "long", Workspace: "a", Command: "run 40m", Shape: chutetopology.Shape{
		Parts: 2, Accelerators: 4, Within: chutetopology.LevelRack,
	}}
	r.Call(0, chutecall.SubmitJob{Job: "long", Spec: spec})
	r.Run(5 * time.Second)
	r.Faults.Down = true
	r.Run(30 * time.Second)
	late := r.Call(0, chutecall.SubmitJob{Job: "late", Spec: spec})
	starts := len(r.Attempts())
	r.Run(time.Hour)
	is.Equal(len(r.Attempts()), starts) // nothing starts without the store
	_, accepted := r.Replies[late].Reply.(chutecall.JobReply)
	is.True(!accepted)
	r.Faults.Down = false
	r.Run(2 * time.Minute)
	is.Equal(r.Faulty, "")
	job := r.Jobs()[0]
	is.Equal(job.Result.Code, chuteresult.Done)
	is.Equal(job.Attempt, 1)
}

// TestOldJobsAreDeleted ends a job and looks for its row after the retention.
func TestOldJobsAreDeleted(t *testing.T) {
	is := is.New(t)
	h := newHistory(2, 2)
	r := h.rig
	policy := chutedocument.DefaultPolicy()
	policy.IntentRetention = 2 * time.Minute
	h.apply(0, chutedocument.Change{Team: "ops", Override: true, Policy: &policy})
	r.Run(time.Second)
	spec := chutejob.Spec{Name: "j", Workspace: "a", Command: "run 1s", Shape: chutetopology.Shape{
		Parts: 1, Accelerators: 1, Within: chutetopology.LevelWorker,
	}}
	r.Call(0, chutecall.SubmitJob{Job: "j", Spec: spec})
	r.Run(20 * time.Second)
	is.Equal(len(r.Table.Read(chutetable.JobPrefix(0), false)), 1)
	r.Run(time.Minute)
	is.Equal(len(r.Jobs()), 1) // still shown
	r.Run(3 * time.Minute)
	is.Equal(len(r.Table.Read(chutetable.JobPrefix(0), false)), 0)
	is.Equal(len(r.Jobs()), 0)
	is.Equal(r.Faulty, "")
}
