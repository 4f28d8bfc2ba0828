// Package chutestarvation follows the steps that stand beside capacity that is kept for others, while nothing of their jobs runs.
package chutestarvation
