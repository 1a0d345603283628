package trial

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
	"unsafe"
)

const inotifyRoom = 4096

// created waits until a file is made in dir. Compacting a journal takes a fraction of a millisecond: to do something to
// a process while it does so, one has to be told, not look.
func created(ctx context.Context, dir string, most time.Duration) (name string, err error) {
	fd, err := syscall.InotifyInit1(syscall.IN_CLOEXEC | syscall.IN_NONBLOCK)
	if err != nil {
		return "", fmt.Errorf("watch %s: %w", dir, err)
	}
	defer syscall.Close(fd)
	if _, err := syscall.InotifyAddWatch(fd, dir, syscall.IN_CREATE); err != nil {
		return "", fmt.Errorf("watch %s: %w", dir, err)
	}
	buf := make([]byte, inotifyRoom)
	end := time.Now().Add(most)
	for ctx.Err() == nil && time.Now().Before(end) {
		n, err := syscall.Read(fd, buf)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			time.Sleep(50 * time.Microsecond)
			continue
		}
		if err != nil {
			return "", fmt.Errorf("watch %s: %w", dir, err)
		}
		if n < syscall.SizeofInotifyEvent {
			continue
		}
		e := (*syscall.InotifyEvent)(unsafe.Pointer(&buf[0]))
		raw := buf[syscall.SizeofInotifyEvent:min(n, syscall.SizeofInotifyEvent+int(e.Len))]
		for i, b := range raw {
			if b == 0 {
				raw = raw[:i]
				break
			}
		}
		return string(raw), nil
	}
	return "", nil
}
