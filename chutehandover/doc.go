// Package chutehandover decides what a scheduler tells its successor of the workers, through the leader's row.
package chutehandover
