// Package chutegraph holds what a submitter asks for: a job as a graph of steps, each of several equal tasks.
package chutegraph
