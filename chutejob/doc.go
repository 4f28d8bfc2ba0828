// Package chutejob defines gang jobs: their specification and the state of their attempts.
package chutejob
