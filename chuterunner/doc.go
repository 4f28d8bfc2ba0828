// Package chuterunner manages the runs of tasks on workers: it sends their orders, renews the workers' leases, and
// applies the answers and the ends of runs to the tasks.
package chuterunner
