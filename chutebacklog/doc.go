// Package chutebacklog bounds the memory that unfinished jobs take on the scheduler: it decides which jobs hosts accept.
package chutebacklog
