// Package chuteaction holds the events that the core of an entry host is told and the effects that it asks for.
package chuteaction
