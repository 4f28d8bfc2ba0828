// Package chuteplanner brings the tasks that wait before the placement, and carries out what it decides.
package chuteplanner
