// Package chutecatalog holds the current configuration: queues, services, workspaces and their API keys.
package chutecatalog
