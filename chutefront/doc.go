// Package chutefront serves the HTTP API of an entry host to callers of services and to operators.
package chutefront
