package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"wallflow/internal/catalog"
	"wallflow/internal/listsvc"
	"wallflow/internal/listsvc/client"
)

func newSnapshot(a *app) *cli.Command {
	return &cli.Command{
		Name:  "snapshot",
		Usage: "Saves, inspects and restores backups of the list",
		Description: described("",
			`wallflow snapshot save list.backup`,
			`wallflow snapshot inspect list.backup`,
			`wallflow snapshot restore list.backup --replace 5f0c9a1be2d34477`),
		Commands: []*cli.Command{newSnapshotSave(a), newSnapshotInspect(a), newSnapshotRestore(a)},
		Action:   group,
	}
}

func newSnapshotSave(a *app) *cli.Command {
	return &cli.Command{
		Name:      "save",
		ArgsUsage: "FILE",
		Usage:     "Writes the list, with all that was acknowledged before, to a file",
		Flags:     []cli.Flag{a.servers()},
		Action: a.action(exactly(1, "the backup's file"), func(ctx context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			return a.withClient(ctx, cmd, func(ctx context.Context, c *client.Client, out io.Writer) error {
				got, err := c.Do(ctx, http.MethodGet, "/cluster/snapshot", nil, nil)
				if err != nil {
					return err
				}
				s, err := listsvc.ReadBackup(bytes.NewReader(got.Body)) // what is put by has to be good
				if err != nil {
					return err
				}
				if err := writeWhole(file, got.Body); err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: %s\n", file, describe(s))
				return nil
			})
		}),
	}
}

// writeWhole puts a file there whole or not at all.
func writeWhole(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return nil
}

func describe(s catalog.Snapshot) string {
	return fmt.Sprintf("version %d of list %s, %d entries, changes kept since version %d", s.Version, s.Cluster, len(s.Entries), s.Floor)
}

func newSnapshotInspect(a *app) *cli.Command {
	var asJSON bool
	return &cli.Command{
		Name:      "inspect",
		ArgsUsage: "FILE",
		Usage:     "Checks a backup and says what is in it",
		Flags:     []cli.Flag{boolFlag(&asJSON, "json", "as JSON, with the entries")},
		Action: a.action(exactly(1, "the backup's file"), func(_ context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			s, err := readBackup(file)
			if err != nil {
				return err
			}
			states, cells := map[catalog.State]int{}, map[int]int{}
			for _, e := range s.Entries {
				states[e.State]++
				cells[e.Cell]++
			}
			out := cmd.Root().Writer
			if asJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", "  ")
				return e.Encode(map[string]any{"list": s.Cluster, "version": s.Version, "floor": s.Floor, "entries": s.Entries, "states": states})
			}
			fmt.Fprintf(out, "%s: sound\n%s\n%d partners, %d ready, %d draining\n", file, describe(s), len(cells), states[catalog.Ready], states[catalog.Draining])
			return nil
		}),
	}
}

func readBackup(path string) (catalog.Snapshot, error) {
	f, err := os.Open(path)
	if err != nil {
		return catalog.Snapshot{}, err
	}
	defer f.Close()
	s, err := listsvc.ReadBackup(f)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func newSnapshotRestore(a *app) *cli.Command {
	var replace string
	return &cli.Command{
		Name:      "restore",
		ArgsUsage: "FILE",
		Usage:     "Puts a backup in the place of the cluster's list",
		Description: `Puts a backup in the place of the list that a cluster has. The list that goes has to be named (--replace, as serve status and
endpoint list show it): a backup that went to the wrong cluster would take away endpoints that are there.

The restored list has an id of its own and a version above all earlier ones, so that whoever followed the old one gets it whole.`,
		Flags: []cli.Flag{a.servers(), required(stringFlag(&replace, "replace", "", "id of the list that goes"))},
		Action: a.action(exactly(1, "the backup's file"), func(ctx context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			if _, err := readBackup(file); err != nil {
				return err
			}
			data, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			return a.withClient(ctx, cmd, func(ctx context.Context, c *client.Client, out io.Writer) error {
				got, err := c.Do(ctx, http.MethodPut, "/cluster/snapshot?replace="+url.QueryEscape(replace), nil, data)
				if err != nil {
					return err
				}
				var r catalog.Result
				if err := json.Unmarshal(got.Body, &r); err != nil {
					return err
				}
				fmt.Fprintf(out, "restored: version %d of list %s, %d entries\n", r.Version, got.Header.Get("X-Catalog-Cluster"), r.Changed)
				return nil
			})
		}),
	}
}
