// Package chutepool holds the workers that the job scheduler drives and the runs that take their capacity.
package chutepool
