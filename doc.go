// Package monsoonchute runs an entry host inside a Go program: a scheduler of multi-accelerator jobs and a router of
// requests.
package monsoonchute
