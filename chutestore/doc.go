// Package chutestore is the client of the platform's table service and of its membership list.
package chutestore
