// Package chutetask holds the state of the job scheduler's jobs, their tasks and the runs of these.
package chutetask
