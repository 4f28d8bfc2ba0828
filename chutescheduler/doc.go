// Package chutescheduler decides which runs of jobs start and stop on workers, and records each change before orders rely on it.
package chutescheduler
