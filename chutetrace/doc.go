// Package chutetrace finds the lines of several hosts' logs that tell what happened to one job.
package chutetrace
