// Package chuteintake handles the calls of clients: it records jobs and cancellations in the store and answers queries.
package chuteintake
