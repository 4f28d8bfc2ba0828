// Package chutecapacity holds amounts of what tasks need and workers have.
package chutecapacity
