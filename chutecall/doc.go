// Package chutecall defines the calls of operators and job submitters, and their replies.
package chutecall
