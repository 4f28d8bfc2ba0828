// Package chuteinquiry answers the calls that read the jobs of a shard.
package chuteinquiry
