package trial

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
	"unsafe"
)

const inotifyBufferBytes = 4096

// waitForCreate waits until a file is created in dir. Compacting a journal takes a fraction of a millisecond, too short
// for polling to hit.
func waitForCreate(ctx context.Context, dir string, timeout time.Duration) (name string, err error) {
	fd, err := syscall.InotifyInit1(syscall.IN_CLOEXEC | syscall.IN_NONBLOCK)
	if err != nil {
		return "", fmt.Errorf("watch %s: %w", dir, err)
	}
	defer syscall.Close(fd)
	if _, err := syscall.InotifyAddWatch(fd, dir, syscall.IN_CREATE); err != nil {
		return "", fmt.Errorf("watch %s: %w", dir, err)
	}
	buf := make([]byte, inotifyBufferBytes)
	end := time.Now().Add(timeout)
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
