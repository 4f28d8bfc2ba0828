// Package chutequarantine decides which tasks run in quarantine, since workers crashed under them, and which are given up.
package chutequarantine
