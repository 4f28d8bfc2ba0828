// Package chutequeue holds the queues and the retry budget of one service.
package chutequeue
