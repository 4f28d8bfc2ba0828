// Package chuteeviction finds the runs whose stop costs least, so that others fit on a worker.
package chuteeviction
