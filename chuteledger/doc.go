// Package chuteledger holds the jobs, workers and runs of a scheduler, and the working copy of them while an event is
// handled.
package chuteledger
