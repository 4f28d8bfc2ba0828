// Package chutetrace merges the log lines about one job from the logs of several entry hosts.
package chutetrace
