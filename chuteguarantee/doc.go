// Package chuteguarantee packs all guaranteed shapes onto concrete adjacent accelerators at once.
package chuteguarantee
