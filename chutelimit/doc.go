// Package chutelimit decides how the limit of a workspace on accelerators is allotted to the shards, whose owners plan
// independently.
package chutelimit
