// Package chuteleader decides which entry host is the scheduler of a shard, and fences its writes.
package chuteleader
