// Package chuteclock relates the steady clock of the store, which all entry hosts can read, to that of this process.
package chuteclock
