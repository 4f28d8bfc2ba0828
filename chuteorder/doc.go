// Package chuteorder defines the orders and polls that a shard's owner sends to workers, and the workers' reports.
package chuteorder
