// Package chutesettings reads and validates the settings file of an entry host.
package chutesettings
