// Package chuterelay sends requests to the store, directly or through another entry host that still reaches it.
package chuterelay
