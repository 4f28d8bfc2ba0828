// Package chutecrash records against which tasks the crashes of workers count, and gives up jobs for them.
package chutecrash
