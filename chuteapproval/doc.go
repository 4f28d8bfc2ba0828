// Package chuteapproval requests the approval of workers for the steps whose queues need it, and keeps the tickets that the
// approval service answers with.
package chuteapproval
