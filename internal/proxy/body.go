package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	maxPooledBodyBytes = 16 << 10 // bodies up to this size use pooled buffers
	minBodyGrowthBytes = 64 << 10 // first and smallest growth of the buffer for a body of unknown length
)

var bodyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, maxPooledBodyBytes)
	return &buffer
}}

// memoryBudget bounds the total memory of the request bodies that do not use pooled buffers.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes bytes from the budget, or returns false if too few are left.
func (b *memoryBudget) reserve(bytes int64) bool {
	if b.used.Add(bytes) <= b.limit {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// release returns bytes to the budget.
func (b *memoryBudget) release(bytes int64) { b.used.Add(-bytes) }

// requestBody is the complete body of a request.
type requestBody struct {
	bytes    []byte
	pooled   *[]byte // the pooled buffer that holds bytes, or nil
	reserved int64   // bytes taken from the budget
	budget   *memoryBudget
}

// release returns the memory. The bytes must not be used afterwards.
func (b *requestBody) release() {
	if b.pooled != nil {
		bodyBuffers.Put(b.pooled)
	}
	if b.reserved > 0 {
		b.budget.release(b.reserved)
	}
	*b = requestBody{}
}

var (
	errBodyTooLarge = errors.New("the request body exceeds the configured limit")
	errBodyMemory   = errors.New("the memory budget for request bodies is exhausted")
)

// readBody reads the complete body of a request. After an error no memory is held.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, budget *memoryBudget) (requestBody, error) {
	body := requestBody{budget: budget}
	if r.Body == nil || r.Body == http.NoBody {
		return body, nil
	}
	if r.ContentLength > maxBytes {
		return body, errBodyTooLarge
	}
	err := body.read(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength)
	if err == nil {
		return body, nil
	}
	body.release()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		err = errBodyTooLarge
	}
	return body, err
}

// read reads a body of the given length; a negative length is unknown.
func (b *requestBody) read(from io.Reader, length int64) error {
	if length >= 0 && length <= maxPooledBodyBytes {
		b.pooled = bodyBuffers.Get().(*[]byte)
		b.bytes = (*b.pooled)[:length]
		return b.readSized(from)
	}
	if length >= 0 {
		if err := b.reserve(length); err != nil {
			return err
		}
		b.bytes = make([]byte, length)
		return b.readSized(from)
	}
	return b.readUnsized(from)
}

// readSized fills b.bytes, whose size is the length of the body.
func (b *requestBody) readSized(from io.Reader) error {
	if _, err := io.ReadFull(from, b.bytes); err != nil {
		return err
	}
	var extra [1]byte // one more read lets net/http see the end of the body
	if _, err := from.Read(extra[:]); err != nil && err != io.EOF {
		return err
	}
	return nil
}

// readUnsized reads a body of unknown length.
func (b *requestBody) readUnsized(from io.Reader) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := from.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the capacity of the buffer, and adds at least minBodyGrowthBytes.
func (b *requestBody) grow() error {
	growth := max(minBodyGrowthBytes, cap(b.bytes))
	if err := b.reserve(int64(growth)); err != nil {
		return err
	}
	larger := make([]byte, len(b.bytes), cap(b.bytes)+growth)
	copy(larger, b.bytes)
	b.bytes = larger
	return nil
}

// reserve takes bytes from the budget on the body's account.
func (b *requestBody) reserve(bytes int64) error {
	if !b.budget.reserve(bytes) {
		return errBodyMemory
	}
	b.reserved += bytes
	return nil
}
