// Package chutegraph holds the specification of a job: a graph of steps, each with one or more equal tasks.
package chutegraph
