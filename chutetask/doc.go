// Package chutetask holds the state of the job scheduler's jobs and tasks, and what workers report about runs.
package chutetask
