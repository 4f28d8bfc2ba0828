// Package chutepool holds the workers of the job scheduler and the runs that reserve their capacity.
package chutepool
