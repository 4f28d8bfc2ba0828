// Package chutefront serves the HTTP API of an entry host to clients of services and to operators.
package chutefront
