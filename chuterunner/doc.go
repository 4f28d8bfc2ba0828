// Package chuterunner drives the runs of tasks on workers: orders, leases, answers, ends, and what becomes of the
// tasks.
package chuterunner
