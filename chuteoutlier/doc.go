// Package chuteoutlier keeps a record of each worker (its speed and the ends of its runs, with the evidence and its age), and
// judges from the records which workers get fewer new runs or none.
package chuteoutlier
