// Package chuterecording decides which progress a scheduler writes next, and what follows once the store has taken or rejected it.
package chuterecording
