// Package soak plays faults from outside on entry hosts that run as processes of their own; its tests do all the work.
package soak
