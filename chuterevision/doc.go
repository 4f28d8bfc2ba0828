// Package chuterevision maintains the operators' document in force: it reads the head revision, proves its freshness
// and applies changes.
package chuterevision
