// Package chutetakeover decides what a new scheduler takes over from earlier ones: their runs, and how long their leases last.
package chutetakeover
