// Package chuteintake answers the calls of clients: it records jobs and cancellations and tells their states.
package chuteintake
