// Package chuteroute routes client requests to backend servers: it queues them, limits their concurrency, retries them
// and ensures that a request marked as not repeatable runs at most once.
package chuteroute
