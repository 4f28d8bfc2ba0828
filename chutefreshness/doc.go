// Package chutefreshness tracks up to which time a host knows the changes of a table that it watches.
package chutefreshness
