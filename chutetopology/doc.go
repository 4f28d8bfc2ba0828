// Package chutetopology describes workers, racks and availability zones, and the shapes placed on them.
package chutetopology
