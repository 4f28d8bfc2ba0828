// Package chuterevision maintains the document in force on this host: it reads the newest revision, the head, tracks
// how long ago the document was known to be the head, and commits changes.
package chuterevision
