// Package chuteresult defines the numbered results of requests and calls, and the three classes of results.
package chuteresult
