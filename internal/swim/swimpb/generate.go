// Package swimpb holds the messages of the membership protocol, generated from swim.proto.
package swimpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative swim.proto
