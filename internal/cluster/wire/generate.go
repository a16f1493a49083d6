// Package wire holds the generated messages and Twirp services that the
// processes of wasabihoist exchange, and the records on the platform's log.
// The generated files are committed, so a build needs no generator.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative wasabihoist.proto
