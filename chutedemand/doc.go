// Package chutedemand describes the steps that wait for workers: what they need, what their quotas allow, and which are harder to place.
package chutedemand
