// Package chuteconnection limits what the clients of an HTTP server hold: connections, bodies that are being read, and
// responses that are being sent. The decisions are those of chutebudget; this package holds the sockets and the lock.
package chuteconnection
