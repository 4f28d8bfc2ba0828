// Package chuteexplain tells where a job would go now and why, from a planning pass whose effects are discarded.
package chuteexplain
