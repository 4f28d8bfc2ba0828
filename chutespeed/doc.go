// Package chutespeed estimates from the progress of runs how fast each worker is, beside the others.
package chutespeed
