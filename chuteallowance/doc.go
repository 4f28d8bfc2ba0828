// Package chuteallowance keeps the ledgers of the workspaces' limits up to date for the owner of a shard, and decides what the limits leave
// its jobs.
package chuteallowance
