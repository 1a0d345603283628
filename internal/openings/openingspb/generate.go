// Package openingspb holds the messages about prompt openings in demand.
package openingspb

//go:generate protoc --go_out=. --go_opt=paths=source_relative openings.proto
