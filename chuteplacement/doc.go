// Package chuteplacement decides which tasks start where, and which running work yields to more urgent work.
package chuteplacement
