// Package chutewire encodes table rows and messages between entry hosts as CBOR, and decodes them.
package chutewire
