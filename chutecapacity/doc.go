// Package chutecapacity holds the resources that tasks need and workers have.
package chutecapacity
