// Package chutepacing decides how fast filling tasks may work beside tasks that serve users.
package chutepacing
