// Package chutewait follows the steps that wait for capacity while nothing of their jobs runs, and logs why they wait.
package chutewait
