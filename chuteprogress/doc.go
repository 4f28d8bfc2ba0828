// Package chuteprogress divides the progress of a job into rows that the store takes, and puts it together again.
package chuteprogress
