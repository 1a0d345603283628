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

// backupHeader begins the first line of a backup. The length and SHA-256 checksum of the catalog snapshot follow on the
// same line, and the snapshot after it.
const backupHeader = "wallflow list backup 1"

// Backup returns a snapshot of the list. ok is false if the cluster has not been founded yet.
func (m *Machine) Backup() (s catalog.Snapshot, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.catalog == nil {
		return s, false
	}
	return m.catalog.Snapshot(), true
}

// WriteBackup writes a snapshot in the backup format.
func WriteBackup(w io.Writer, s catalog.Snapshot) error {
	var b bytes.Buffer
	if _, err := s.WriteTo(&b); err != nil {
		return err
	}
	sum := sha256.Sum256(b.Bytes())
	if _, err := fmt.Fprintf(w, "%s %d %s\n", backupHeader, b.Len(), hex.EncodeToString(sum[:])); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	if _, err := b.WriteTo(w); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	return nil
}

// ReadBackup reads a backup and verifies its length, checksum and content.
func ReadBackup(r io.Reader) (s catalog.Snapshot, err error) {
	in := bufio.NewReader(io.LimitReader(r, maxSnapshotBytes+256))
	head, err := in.ReadString('\n')
	if err != nil {
		return s, fmt.Errorf("backup: its first line: %w", err)
	}
	var size int64
	var sum string
	if n, err := fmt.Sscanf(head, backupHeader+" %d %s\n", &size, &sum); err != nil || n != 2 {
		return s, fmt.Errorf("backup: its first line is %.80q, wanted is %q with a length and a checksum", head, backupHeader)
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
