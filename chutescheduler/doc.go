// Package chutescheduler schedules jobs on workers, and records each change before orders rely on it.
package chutescheduler
