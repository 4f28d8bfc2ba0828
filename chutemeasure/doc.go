// Package chutemeasure replays traces that are generated from seeds through the core and through a naive scheduler, and
// measures both.
package chutemeasure
