// Package chuteoccupancy tells what occupies the workers: the runs that are expected to end soon, and those that may be evicted.
package chuteoccupancy
