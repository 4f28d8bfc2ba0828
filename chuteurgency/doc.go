// Package chuteurgency measures what waiting costs: whether a job can still be on time, when its next step must start for that,
// and how much of its value each second of waiting loses.
package chuteurgency
