// Package chuteformat converts documents, jobs and replies from and to the TOML and JSON that people and callers use.
package chuteformat
