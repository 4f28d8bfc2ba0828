// Package chuteaccelerator holds sets of accelerators over a topology and finds adjacent blocks in them.
package chuteaccelerator
