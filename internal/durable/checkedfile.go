package durable

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// WriteFile replaces a file atomically: after a crash there is either the old content or the new. The first line of the
// file holds the name of the format and the length and checksum of data.
func WriteFile(path, format string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	sum := sha256.Sum256(data)
	_, err = fmt.Fprintf(f, "%s %d %s\n", format, len(data), hex.EncodeToString(sum[:]))
	if err == nil {
		_, err = f.Write(data)
	}
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("write %s: %w", path, err), os.Remove(f.Name()))
	}
	return syncDir(filepath.Dir(path))
}

// syncDir syncs a directory, so that a rename in it is durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// ReadFile reads a file that WriteFile wrote. It returns ErrDamaged if the header does not match the content.
func ReadFile(path, format string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	all, err := io.ReadAll(f)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	header, data, ok := bytes.Cut(all, []byte("\n"))
	sum := sha256.Sum256(data)
	if want := fmt.Sprintf("%s %d %s", format, len(data), hex.EncodeToString(sum[:])); !ok || string(header) != want {
		return nil, fmt.Errorf("%w: %s: the header is %.100q, but the content requires %q", ErrDamaged, path, header, want)
	}
	return data, nil
}
