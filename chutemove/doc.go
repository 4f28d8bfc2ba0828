// Package chutemove moves tasks and gangs that a slow worker holds up to other workers, where they end sooner in spite of the stop.
package chutemove

const component = "scheduler" // moves are logged as part of the scheduler
