// Package chuterecovery restores the jobs of a shard from the rows that earlier owners wrote.
package chuterecovery
