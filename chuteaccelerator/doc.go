// Package chuteaccelerator implements sets of accelerators of a topology and finds blocks of adjacent accelerators in them.
package chuteaccelerator
