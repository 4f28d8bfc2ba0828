// Package chuteinventory is the inventory of a shard's accelerators: which are usable, held, guaranteed and free.
package chuteinventory
