// Package chuteruntime keeps how long the tasks of each queue run relative to their estimates, with the tail.
package chuteruntime
