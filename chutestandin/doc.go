// Package chutestandin provides in-process stand-ins for the platform, its workers and the backend servers, for tests
// and development clusters.
package chutestandin
