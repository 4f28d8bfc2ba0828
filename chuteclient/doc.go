// Package chuteclient is a client of the HTTP API that entry hosts offer to operators.
package chuteclient
