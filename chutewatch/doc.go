// Package chutewatch watches tables of the store, one duty for each.
package chutewatch
