// Package chainpb holds the messages that control processes send each other about the replicated control state, and the
// payloads of its stored records.
package chainpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative chain.proto
