// Package chuterun holds the state of jobs, their tasks and the runs of these.
package chuterun
