// Package chutemaintenance decides which machines of a wave of maintenance go down next.
package chutemaintenance
