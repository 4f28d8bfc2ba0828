// Package chutedaemon runs an entry host of the job scheduler: chuteentry, and the duties that join it to the store,
// workers and callers.
package chutedaemon
