// Package chuteload keeps the state, the load and the adaptive concurrency limit of each backend server, as one entry
// host knows them.
package chuteload
