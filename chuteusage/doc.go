// Package chuteusage reports what workspaces use of their quotas, as gauges.
package chuteusage
