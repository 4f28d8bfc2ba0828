// Package chutecandidate tells which workers may get new runs, and what speaks against the others, as the placement sees them.
package chutecandidate
