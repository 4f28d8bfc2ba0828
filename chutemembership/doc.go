// Package chutemembership tells which workers there are: it applies the list of workers and prepares for workers that leave.
package chutemembership
