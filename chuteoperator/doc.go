// Package chuteoperator keeps what a host knows of the operators' table: the configuration in force, the zones that are out and
// the waves of maintenance.
package chuteoperator
