// Package chuteduty runs long-lived goroutines, called duties, in groups that stop together.
package chuteduty
