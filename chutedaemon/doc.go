// Package chutedaemon runs an entry host: the core, and the duties that join it to the store, the workers and the callers.
package chutedaemon
