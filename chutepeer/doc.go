// Package chutepeer connects entry hosts by WebSockets that carry messages encoded in CBOR.
package chutepeer
