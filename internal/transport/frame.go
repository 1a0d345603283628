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
	// kindHello marks the first frame of a connection, which names the sender.
	kindHello Kind = 0
	// protocolVersion is the first byte of a hello.
	protocolVersion = 1
	// frameHeader is the size of length and kind.
	frameHeader = 5
	// maxHello bounds the payload of a hello.
	maxHello = 64
	// readStep is how much memory is taken ahead of the bytes that really come.
	readStep = 64 << 10
)

// frame is one message as it came.
type frame struct {
	kind    Kind
	payload []byte
}

// encodeFrame returns the bytes of a frame that holds the message.
func encodeFrame(kind Kind, message proto.Message) ([]byte, error) {
	size := proto.Size(message)
	if size > MaxFrame {
		return nil, &FrameError{Reason: "too large to send"}
	}
	encoded := make([]byte, frameHeader, frameHeader+size)
	encoded, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(encoded, message)
	if err != nil {
		return nil, err
	}
	putHeader(encoded, kind)
	return encoded, nil
}

// encodeHello returns the first frame of a connection.
func encodeHello(address string) []byte {
	encoded := make([]byte, frameHeader, frameHeader+1+len(address))
	encoded = append(encoded, protocolVersion)
	encoded = append(encoded, address...)
	putHeader(encoded, kindHello)
	return encoded
}

func putHeader(encoded []byte, kind Kind) {
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-frameHeader))
	encoded[frameHeader-1] = byte(kind)
}

// readFrame reads one frame whose payload has at most limit bytes.
func readFrame(reader *bufio.Reader, limit int) (frame, error) {
	var header [frameHeader]byte
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
	return frame{kind: Kind(header[frameHeader-1]), payload: payload}, nil
}

// readPayload reads length bytes. Memory for a long payload is taken as its bytes come.
func readPayload(reader *bufio.Reader, length int) ([]byte, error) {
	if length <= readStep {
		payload := make([]byte, length)
		_, err := io.ReadFull(reader, payload)
		return payload, err
	}
	var buffer bytes.Buffer
	buffer.Grow(readStep)
	if _, err := io.CopyN(&buffer, reader, int64(length)); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// readHello reads the first frame of a connection and returns the sender's address.
func readHello(reader *bufio.Reader) (string, error) {
	hello, err := readFrame(reader, maxHello)
	if err != nil {
		return "", err
	}
	if hello.kind != kindHello || len(hello.payload) < 1 {
		return "", &FrameError{Reason: "no hello"}
	}
	if hello.payload[0] != protocolVersion {
		return "", &FrameError{Reason: "unknown version"}
	}
	address, err := netip.ParseAddrPort(string(hello.payload[1:]))
	if err != nil {
		return "", &FrameError{Reason: "hello without an address"}
	}
	return address.String(), nil
}
