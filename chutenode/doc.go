// Package chutenode assembles an entry host for gang jobs and requests from the core in chutecore and the duties that
// do its input and output.
package chutenode
