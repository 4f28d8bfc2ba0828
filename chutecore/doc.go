// Package chutecore is the core of a node: one pure function over events that composes request routing with gang jobs
// on shards.
package chutecore
