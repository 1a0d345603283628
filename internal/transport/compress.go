package transport

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

const (
	// compressed marks, in the kind byte of a frame, a payload that is compressed (deflate).
	compressed = 0x80
	// compressFrom is the size of a payload from which compressing is tried: lists of members or instances and whole
	// documents, which repeat the same names. Smaller ones don't earn the memory of a compressor.
	compressFrom = 4 << 10
	// worthwhile is the share of its size, in eighths, that a compressed payload may have.
	worthwhile = 6
)

// compressors and decompressors are kept between uses; the garbage collector takes those that rest.
var (
	compressors = sync.Pool{New: func() any {
		writer, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // only an unknown level is an error
		}
		return writer
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// compressFrame returns the frame with its payload compressed where that saves enough, else the frame as it is.
func compressFrame(encoded []byte) []byte {
	payload := encoded[frameHeader:]
	if len(payload) < compressFrom {
		return encoded
	}
	out := bytes.NewBuffer(make([]byte, frameHeader, frameHeader+len(payload)/2))
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	writer.Reset(out)
	if _, err := writer.Write(payload); err != nil {
		return encoded
	}
	if err := writer.Close(); err != nil {
		return encoded
	}
	smaller := out.Bytes()
	if len(smaller)-frameHeader > len(payload)/8*worthwhile {
		return encoded
	}
	putHeader(smaller, Kind(encoded[frameHeader-1])|compressed)
	return smaller
}

// decompress returns a frame with its payload as it was before compressFrame.
func decompress(received frame) (frame, error) {
	if received.kind&compressed == 0 {
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
	return frame{kind: received.kind &^ compressed, payload: payload}, nil
}
