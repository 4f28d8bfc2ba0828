package chuteexplain

import "time"

// maxPerSecond is the largest number of explanations per second: each costs a planning pass of the leader.
const maxPerSecond = 3

// Rate is the immutable count of the explanations of the current second. The zero value is that of no explanation.
type Rate struct {
	since time.Time
	count int
}

// Admit returns the rate with one more explanation, or the same and false if there have been enough for now.
func (r Rate) Admit(now time.Time) (Rate, bool) {
	if now.Sub(r.since) >= time.Second {
		return Rate{since: now, count: 1}, true
	}
	if r.count >= maxPerSecond {
		return r, false
	}
	r.count++
	return r, true
}
