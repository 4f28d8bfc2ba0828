// Package chutepool holds the workers that a scheduler drives and the runs that take their capacity.
package chutepool
