// Package chutespeed estimates the relative speed of each worker from the progress of its runs.
package chutespeed
