// Package chuterow encodes the rows that entry hosts write to the store and forward to each other.
package chuterow
