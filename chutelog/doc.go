// Package chutelog writes the log lines of the core on duties of its own, limited by kind.
package chutelog
