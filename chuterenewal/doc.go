// Package chuterenewal applies what workers answer to lease renewals: their ends, their reports, and what these leave out.
package chuterenewal

const component = "scheduler"
