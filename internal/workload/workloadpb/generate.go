// Package workloadpb holds the messages about the load of endpoints.
package workloadpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative workload.proto
