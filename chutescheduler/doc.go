// Package chutescheduler drives jobs on workers: what starts, what has ended, what must be recorded before what.
package chutescheduler
