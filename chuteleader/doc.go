// Package chuteleader elects the entry host that is the scheduler of a shard, and fences the writes of earlier leaders.
package chuteleader
