// Package chuteoutage tells crashes that many workers had at the same time from crashes of single workers.
package chuteoutage
