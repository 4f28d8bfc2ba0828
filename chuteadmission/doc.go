// Package chuteadmission checks new jobs of a shard against the document, and says what accepted ones wait for.
package chuteadmission
