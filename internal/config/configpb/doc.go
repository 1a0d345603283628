// Package configpb contains the protobuf encoding of the operator's orders and of the replicated configuration state.
package configpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative config.proto
