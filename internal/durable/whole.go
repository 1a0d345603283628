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

// WriteWhole puts a file in the place of another, so that whatever happens there is either the one or the other, whole. form names
// what is in it; its length and checksum stand in its first line.
func WriteWhole(path, form string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	sum := sha256.Sum256(data)
	_, err = fmt.Fprintf(f, "%s %d %s\n", form, len(data), hex.EncodeToString(sum[:]))
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

// syncDir makes names last.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// ReadWhole reads a file that WriteWhole wrote. What is not as it was written is ErrDamaged.
func ReadWhole(path, form string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	all, err := io.ReadAll(f)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	head, data, ok := bytes.Cut(all, []byte("\n"))
	sum := sha256.Sum256(data)
	if want := fmt.Sprintf("%s %d %s", form, len(data), hex.EncodeToString(sum[:])); !ok || string(head) != want {
		return nil, fmt.Errorf("%w: %s: its first line is %.100q, and what follows asks for %q", ErrDamaged, path, head, want)
	}
	return data, nil
}
