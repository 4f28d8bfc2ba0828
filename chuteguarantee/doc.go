// Package chuteguarantee packs all guaranteed shapes onto blocks of adjacent accelerators, so that they all fit at once.
package chuteguarantee
