// Package chutebackend sends requests and health probes from an entry host to backend servers.
package chutebackend
