// Package chutepacing decides how fast best-effort tasks may work on the worker of a serving task.
package chutepacing
