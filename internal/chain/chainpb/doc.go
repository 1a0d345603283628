// Package chainpb defines the messages that control processes exchange to replicate control state, and the payloads of
// the stored records.
package chainpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative chain.proto
