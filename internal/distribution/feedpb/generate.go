// Package feedpb holds the messages of the distribution to relays and of the registry between control processes.
package feedpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative feed.proto registry.proto
