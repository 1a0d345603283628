// Package feedpb contains the messages that distribute state to relays, and those of the registry between control processes.
package feedpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative feed.proto registry.proto
