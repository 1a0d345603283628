package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	smallBodyBytes = 16 << 10 // buffers up to this are used again
	bodyStepBytes  = 64 << 10 // how a body of unknown length grows
)

var smallBodies = sync.Pool{New: func() any {
	buffer := make([]byte, smallBodyBytes)
	return &buffer
}}

// memoryBudget bounds the memory that bodies of requests take together.
type memoryBudget struct {
	most int64
	used atomic.Int64
}

func (b *memoryBudget) reserve(bytes int64) bool {
	if b.used.Add(bytes) <= b.most {
		return true
	}
	b.used.Add(-bytes)
	return false
}

func (b *memoryBudget) release(bytes int64) { b.used.Add(-bytes) }

// requestBody is the whole body of a request.
type requestBody struct {
	bytes    []byte
	small    *[]byte // the pooled buffer behind it, or nil
	reserved int64
	budget   *memoryBudget
}

// release hands the memory back. The bytes must not be used after it.
func (b *requestBody) release() {
	if b.small != nil {
		smallBodies.Put(b.small)
	}
	if b.reserved > 0 {
		b.budget.release(b.reserved)
	}
	*b = requestBody{}
}

var (
	errBodyTooLarge = errors.New("the body is larger than the configuration allows")
	errBodyMemory   = errors.New("no memory is left for bodies")
)

// readBody reads the whole body of a request. After an error nothing is held.
func readBody(w http.ResponseWriter, r *http.Request, most int64, budget *memoryBudget) (requestBody, error) {
	body := requestBody{budget: budget}
	if r.Body == nil || r.Body == http.NoBody {
		return body, nil
	}
	if r.ContentLength > most {
		return body, errBodyTooLarge
	}
	err := body.read(http.MaxBytesReader(w, r.Body, most), r.ContentLength)
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

func (b *requestBody) read(from io.Reader, length int64) error {
	if length >= 0 && length <= smallBodyBytes {
		b.small = smallBodies.Get().(*[]byte)
		b.bytes = (*b.small)[:length]
		return b.readKnown(from)
	}
	if length >= 0 {
		if err := b.reserve(length); err != nil {
			return err
		}
		b.bytes = make([]byte, length)
		return b.readKnown(from)
	}
	return b.readUnknown(from)
}

func (b *requestBody) readKnown(from io.Reader) error {
	if _, err := io.ReadFull(from, b.bytes); err != nil {
		return err
	}
	var beyond [1]byte // has the library see the end
	if _, err := from.Read(beyond[:]); err != nil && err != io.EOF {
		return err
	}
	return nil
}

func (b *requestBody) readUnknown(from io.Reader) error {
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

// grow doubles the room, from one step on.
func (b *requestBody) grow() error {
	more := max(bodyStepBytes, cap(b.bytes))
	if err := b.reserve(int64(more)); err != nil {
		return err
	}
	larger := make([]byte, len(b.bytes), cap(b.bytes)+more)
	copy(larger, b.bytes)
	b.bytes = larger
	return nil
}

func (b *requestBody) reserve(bytes int64) error {
	if !b.budget.reserve(bytes) {
		return errBodyMemory
	}
	b.reserved += bytes
	return nil
}
