// Package chuteisolation decides which tasks run alone on a worker after crashes, and on which workers: quarantines.
package chuteisolation
