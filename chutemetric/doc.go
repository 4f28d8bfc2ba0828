// Package chutemetric records counters, gauges and histograms with tally and exports them in the Prometheus format.
package chutemetric
