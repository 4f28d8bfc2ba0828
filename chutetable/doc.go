// Package chutetable defines the rows that entry hosts store in the platform's table service, and their keys.
package chutetable
