// Package chutequeue defines the request queue of one service, ordered by class, and its retry budget.
package chutequeue
