package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net/netip"

	"google.golang.org/protobuf/proto"
)

const (
	// kindHello is the kind of the first frame of a connection, which holds the sender's address.
	kindHello Kind = 0
	// protocolVersion is the first byte of the payload of a hello frame.
	protocolVersion = 1
	// frameHeaderSize is the size of a frame header in bytes: four for the payload length and one for the kind.
	frameHeaderSize = 5
	// maxHelloSize bounds the payload of a hello frame, in bytes.
	maxHelloSize = 64
	// payloadChunk bounds the memory, in bytes, that is allocated for a payload before its data arrives.
	payloadChunk = 64 << 10
)

// frame is a received message.
type frame struct {
	kind    Kind
	payload []byte
}

// encodeFrame returns the encoded frame of a message.
func encodeFrame(kind Kind, message proto.Message) ([]byte, error) {
	size := proto.Size(message)
	if size > MaxFrame {
		return nil, &FrameError{Reason: "too large to send"}
	}
	encoded := make([]byte, frameHeaderSize, frameHeaderSize+size)
	encoded, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(encoded, message)
	if err != nil {
		return nil, err
	}
	putHeader(encoded, kind)
	return encoded, nil
}

// encodeHello returns the hello frame for a sender's address.
func encodeHello(address string) []byte {
	encoded := make([]byte, frameHeaderSize, frameHeaderSize+1+len(address))
	encoded = append(encoded, protocolVersion)
	encoded = append(encoded, address...)
	putHeader(encoded, kindHello)
	return encoded
}

// putHeader writes the header of a frame into its first frameHeaderSize bytes.
func putHeader(encoded []byte, kind Kind) {
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-frameHeaderSize))
	encoded[frameHeaderSize-1] = byte(kind)
}

// readFrame reads one frame. The payload may have at most limit bytes.
func readFrame(reader *bufio.Reader, limit int) (frame, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if uint64(length) > uint64(limit) {
		return frame{}, &FrameError{Reason: "too long"}
	}
	payload, err := readPayload(reader, int(length))
	if err != nil {
		return frame{}, err
	}
	return frame{kind: Kind(header[frameHeaderSize-1]), payload: payload}, nil
}

// readPayload reads length bytes. The buffer of a long payload grows as the data arrives.
func readPayload(reader *bufio.Reader, length int) ([]byte, error) {
	if length <= payloadChunk {
		payload := make([]byte, length)
		_, err := io.ReadFull(reader, payload)
		return payload, err
	}
	var buffer bytes.Buffer
	buffer.Grow(payloadChunk)
	if _, err := io.CopyN(&buffer, reader, int64(length)); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// readHello reads the hello frame and returns the sender's address.
func readHello(reader *bufio.Reader) (string, error) {
	hello, err := readFrame(reader, maxHelloSize)
	if err != nil {
		return "", err
	}
	if hello.kind != kindHello || len(hello.payload) < 1 {
		return "", &FrameError{Reason: "first frame is not a hello"}
	}
	if hello.payload[0] != protocolVersion {
		return "", &FrameError{Reason: "unknown protocol version"}
	}
	address, err := netip.ParseAddrPort(string(hello.payload[1:]))
	if err != nil {
		return "", &FrameError{Reason: "hello without a valid address"}
	}
	return address.String(), nil
}
