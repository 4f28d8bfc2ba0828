// Package chutesimulation runs the cores of several entry hosts in virtual time, over simulated links, the stand-in
// table and the stand-in agents, for tests and measurements.
package chutesimulation
