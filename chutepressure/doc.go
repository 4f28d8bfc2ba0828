// Package chutepressure watches the memory and the descriptors of the process.
package chutepressure
