// Package chutecatalog holds the configuration in force: queues, services, workspaces and their keys.
package chutecatalog
