package transport

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

const (
	// compressedFlag is set in the kind byte of a frame whose payload is compressed with deflate.
	compressedFlag = 0x80
	// minCompressSize is the payload size, in bytes, from which compression is tried. Lists of members or instances and
	// whole documents reach it and repeat the same names. Smaller payloads are not worth the memory of a compressor.
	minCompressSize = 4 << 10
	// maxCompressedEighths is the largest compressed size, in eighths of the original size, at which the compressed
	// payload is used.
	maxCompressedEighths = 6
)

// compressors and decompressors are pooled, because each takes much memory. The garbage collector frees unused ones.
var (
	compressors = sync.Pool{New: func() any {
		writer, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // cannot happen: the level is valid
		}
		return writer
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// compressFrame returns the frame with its payload compressed if that saves enough, or else the unchanged frame.
func compressFrame(encoded []byte) []byte {
	payload := encoded[frameHeaderSize:]
	if len(payload) < minCompressSize {
		return encoded
	}
	output := bytes.NewBuffer(make([]byte, frameHeaderSize, frameHeaderSize+len(payload)/2))
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	writer.Reset(output)
	if _, err := writer.Write(payload); err != nil {
		return encoded
	}
	if err := writer.Close(); err != nil {
		return encoded
	}
	shorter := output.Bytes()
	if len(shorter)-frameHeaderSize > len(payload)/8*maxCompressedEighths {
		return encoded
	}
	putHeader(shorter, Kind(encoded[frameHeaderSize-1])|compressedFlag)
	return shorter
}

// decompress reverses compressFrame.
func decompress(received frame) (frame, error) {
	if received.kind&compressedFlag == 0 {
		return received, nil
	}
	reader := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(received.payload), nil); err != nil {
		return frame{}, &FrameError{Reason: "compressed: " + err.Error()}
	}
	payload, err := io.ReadAll(io.LimitReader(reader, MaxFrame+1))
	if err != nil {
		return frame{}, &FrameError{Reason: "compressed: " + err.Error()}
	}
	if len(payload) > MaxFrame {
		return frame{}, &FrameError{Reason: "too long when decompressed"}
	}
	return frame{kind: received.kind &^ compressedFlag, payload: payload}, nil
}
