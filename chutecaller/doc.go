// Package chutecaller sends HTTP requests of which each arrives at most once.
package chutecaller
