// Package chuterow encodes the rows that the entry hosts keep in the store.
package chuterow
