// Package chutehealth decides which workers may be given work, from their reports and from the job parts that fail on
// them.
package chutehealth
