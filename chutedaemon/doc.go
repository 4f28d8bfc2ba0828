// Package chutedaemon runs an entry host of the job scheduler: the core in chuteentry, and the duties that connect it to the
// store, the workers, the other hosts and the clients.
package chutedaemon
