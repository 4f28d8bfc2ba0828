// Package chutedev runs a development cluster in one process: entry hosts, and stand-ins for the platform, the workers
// and the backend servers.
package chutedev
