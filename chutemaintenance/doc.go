// Package chutemaintenance decides which machines of a maintenance wave go down next.
package chutemaintenance
