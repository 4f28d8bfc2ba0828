// Package chutebudget decides how much memory and how many connections clients may hold: which requests and connections
// are admitted, which connection is closed for a new one, and when a host is short of memory or descriptors.
package chutebudget
