package chutebacklog

import "monsoonchute.example/monsoonchute/chutegraph"

// The memory in bytes that the parts of an unfinished job take on the scheduler: their state, and their share of a planning pass.
const (
	jobBytes  = 2 << 10
	stepBytes = 1 << 10
	taskBytes = 128
)

const (
	// memoryShare is the share of the memory limit of a host that unfinished jobs may take, as a divisor.
	memoryShare = 4
	// workspaceShare is the share of the limit that the jobs of one workspace may take, as a divisor.
	workspaceShare = 2
	// heavyShare is the share of the limit from which a workspace is named in a report, as a divisor. Few can be.
	heavyShare = 4
)

// Cost returns roughly how much memory in bytes an unfinished job of the specification takes on the scheduler.
func Cost(s chutegraph.Spec) int64 {
	cost := CostOfText(len(s.Payload))
	for _, step := range s.Steps {
		cost += stepBytes + int64(step.Count)*taskBytes
	}
	return cost
}

// CostOfText returns roughly how much memory in bytes a job without steps takes on its owner, with texts of so many bytes.
func CostOfText(bytes int) int64 {
	return int64(jobBytes + bytes)
}

// Limit returns how much memory in bytes all unfinished jobs together may take on a host with the memory limit in bytes. 0
// stands for no limit.
func Limit(memory int64) int64 {
	return max(0, memory) / memoryShare
}

// Report is what the scheduler tells hosts about the unfinished jobs that it knows. It is immutable.
type Report struct {
	Limit int64            // memory in bytes that the jobs may take; 0 if there is no limit or it is not known
	Used  int64            // memory in bytes that they take
	Heavy map[string]int64 // of it, what the jobs of each workspace with a large part take; never modified
}

// NewReport returns the report on jobs that take so much memory in bytes, by workspace.
func NewReport(limit int64, used map[string]int64) Report {
	r := Report{Limit: limit}
	for workspace, bytes := range used {
		r.Used += bytes
		if bytes < limit/heavyShare {
			continue
		}
		if r.Heavy == nil {
			r.Heavy = make(map[string]int64)
		}
		r.Heavy[workspace] = bytes
	}
	return r
}

// room returns how much memory in bytes further jobs of all workspaces, and of the one, may take.
func (r Report) room(workspace string) (all, own int64) {
	used, ok := r.Heavy[workspace]
	if !ok {
		used = r.Limit / heavyShare
	}
	return r.Limit - r.Used, r.Limit/workspaceShare - used
}

// Full reports whether the jobs of all workspaces, or of one of them, take what they may.
func (r Report) Full() bool {
	for workspace := range r.Heavy {
		if all, own := r.room(workspace); all <= 0 || own <= 0 {
			return true
		}
	}
	return r.Limit > 0 && r.Used >= r.Limit
}
