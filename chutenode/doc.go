// Package chutenode wires the core in chutecore and the duties round it into one entry host, for gang jobs and
// requests.
package chutenode
