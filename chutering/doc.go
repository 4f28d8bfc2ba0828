// Package chutering provides the bounded queues between duties. Waiting on them does not spin, and they count the items
// that they refuse.
package chutering
