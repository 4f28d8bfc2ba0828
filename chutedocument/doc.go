// Package chutedocument implements the operators' document: its sections, their versions and owners, and the rules
// for changes.
package chutedocument
