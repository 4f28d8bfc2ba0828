// Package soak contains tests that run entry hosts as separate processes, inject random faults from outside, and check
// invariants. All code is in the tests.
package soak
