package chutebacklog

import "maps"

// Verdict is the decision on a job: VerdictAdmitted, or what refuses it.
type Verdict int

// The verdicts.
const (
	VerdictAdmitted Verdict = iota
	VerdictFull
	VerdictWorkspaceFull
)

// String returns the kebab-case name of the verdict, which metrics and log lines show.
func (v Verdict) String() string {
	switch v {
	case VerdictAdmitted:
		return "admitted"
	case VerdictFull:
		return "backlog"
	case VerdictWorkspaceFull:
		return "workspace-backlog"
	}
	return "unknown"
}

// minPart is the memory in bytes that each host may use of the room, however many hosts there are: clients' connections
// are spread unevenly, and a burst may reach one host. The rate at which the store records jobs bounds the sum.
const minPart = 1 << 20

// ReportID identifies a report by the scheduler's epoch and the number of its write.
type ReportID struct {
	Epoch    int64
	Sequence int64
}

// Credit is what one host may still accept until the scheduler's next report. It is immutable; the zero value has no limit.
type Credit struct {
	id     ReportID
	report Report
	hosts  int              // that share what the report leaves
	spent  map[string]int64 // by workspace, since the report; never modified
	// earlier is what was accepted between the previous report and this one. The report may not include it yet.
	earlier map[string]int64
}

// WithReport returns the credit after a report to so many hosts. Each may accept an equal part of what it leaves, and minPart
// at least, so that they hardly exceed it together. A report without a limit, as of a new scheduler that has not read all jobs, changes nothing.
// The report of the zero id stands for that of the first scheduler until it comes.
func (c Credit) WithReport(id ReportID, report Report, hosts int) Credit {
	known := c.report.Limit > 0
	if report.Limit <= 0 || known && (id == c.id || id == ReportID{}) {
		return c
	}
	return Credit{id: id, report: report, hosts: max(1, hosts), earlier: c.spent}
}

// Admit decides on a job of the workspace with the cost in bytes. It returns the credit after the job if it is admitted,
// and the unchanged one otherwise.
func (c Credit) Admit(workspace string, cost int64) (Credit, Verdict) {
	if c.report.Limit <= 0 {
		return c, VerdictAdmitted
	}
	all, own := c.report.room(workspace)
	switch {
	case sum(c.spent)+sum(c.earlier)+cost > c.part(all):
		return c, VerdictFull
	case c.spent[workspace]+c.earlier[workspace]+cost > c.part(own):
		return c, VerdictWorkspaceFull
	}
	spent := maps.Clone(c.spent)
	if spent == nil {
		spent = make(map[string]int64)
	}
	spent[workspace] += cost
	c.spent = spent
	return c, VerdictAdmitted
}

// part returns how much of the room in bytes this host may use.
func (c Credit) part(room int64) int64 {
	return max(room/int64(c.hosts), min(room, minPart))
}

func sum(spent map[string]int64) int64 {
	total := int64(0)
	for _, bytes := range spent {
		total += bytes
	}
	return total
}
