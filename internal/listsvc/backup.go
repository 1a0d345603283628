package listsvc

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"

	"wallflow/internal/catalog"
)

// A backup is a line that says what follows, its length and its checksum, and a catalog's snapshot.
const backupForm = "wallflow list backup 1"

// Backup copies the list; ok is false where there is none yet.
func (m *Machine) Backup() (s catalog.Snapshot, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.cat == nil {
		return s, false
	}
	return m.cat.Snapshot(), true
}

// WriteBackup writes a backup.
func WriteBackup(w io.Writer, s catalog.Snapshot) error {
	var b bytes.Buffer
	if _, err := s.WriteTo(&b); err != nil {
		return err
	}
	sum := sha256.Sum256(b.Bytes())
	if _, err := fmt.Fprintf(w, "%s %d %s\n", backupForm, b.Len(), hex.EncodeToString(sum[:])); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	if _, err := b.WriteTo(w); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	return nil
}

// ReadBackup reads a backup, whole and sound or not at all.
func ReadBackup(r io.Reader) (s catalog.Snapshot, err error) {
	in := bufio.NewReader(io.LimitReader(r, snapshotMost+256))
	head, err := in.ReadString('\n')
	if err != nil {
		return s, fmt.Errorf("backup: its first line: %w", err)
	}
	var size int64
	var sum string
	if n, err := fmt.Sscanf(head, backupForm+" %d %s\n", &size, &sum); err != nil || n != 2 {
		return s, fmt.Errorf("backup: its first line is %.80q, wanted is %q with a length and a checksum", head, backupForm)
	}
	data, err := io.ReadAll(in)
	if err != nil {
		return s, fmt.Errorf("backup: %w", err)
	}
	if int64(len(data)) != size {
		return s, fmt.Errorf("backup: %d bytes follow its first line, which says %d", len(data), size)
	}
	if got := sha256.Sum256(data); hex.EncodeToString(got[:]) != sum {
		return s, fmt.Errorf("backup: its checksum is %s, and its first line says %s", hex.EncodeToString(got[:]), sum)
	}
	return catalog.ReadSnapshot(bytes.NewReader(data))
}
