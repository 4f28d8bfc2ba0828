// Package chuteallotment holds what the owner of a shard knows of the limits of workspaces: their ledgers, and what jobs use of them.
package chuteallotment
