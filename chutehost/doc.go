// Package chutehost decides which entry hosts are live and which of them owns each shard.
package chutehost
