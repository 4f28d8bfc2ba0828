// Package chuteplacement decides on which workers waiting tasks start, and which runs are evicted for more urgent
// tasks.
package chuteplacement
