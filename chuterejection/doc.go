// Package chuterejection decides what is written while the store rejects the progress of some job for good: how many jobs share a
// write, which jobs are set aside so that the others go on, and how small their rows become.
package chuterejection
