// Package chuteplanner runs the job scheduler's planning passes: it collects the waiting tasks, has chuteplacement
// decide, and carries out the decisions.
package chuteplanner
