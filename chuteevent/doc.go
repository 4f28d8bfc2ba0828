// Package chuteevent defines the sealed events that chutecore handles, the sealed effects that it returns, and the
// messages between entry hosts.
package chuteevent
