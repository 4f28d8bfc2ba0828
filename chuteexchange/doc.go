// Package chuteexchange keeps the client requests and operators' calls that wait for the core, and delivers the answers
// to them.
package chuteexchange
