// Package chuteworker sends orders and polls from an entry host to the agents on workers.
package chuteworker
