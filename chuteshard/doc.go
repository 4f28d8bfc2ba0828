// Package chuteshard implements the owner of one shard: it accepts jobs, plans them onto the shard's workers and
// watches the workers' health.
package chuteshard
