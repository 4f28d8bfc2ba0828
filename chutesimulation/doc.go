// Package chutesimulation simulates several cores in virtual time, joined by fake links, over the stand-in table and
// agents, for tests.
package chutesimulation
