// Package chuteform defines the TOML and JSON forms of documents, jobs and replies, and converts from and to them.
package chuteform
