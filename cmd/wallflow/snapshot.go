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
		Description: withExamples("",
			`wallflow snapshot save list.backup`,
			`wallflow snapshot inspect list.backup`,
			`wallflow snapshot restore list.backup --replace 5f0c9a1be2d34477`),
		Commands: []*cli.Command{newSnapshotSave(a), newSnapshotInspect(a), newSnapshotRestore(a)},
		Action:   showSubcommands,
	}
}

func newSnapshotSave(a *app) *cli.Command {
	return &cli.Command{
		Name:      "save",
		ArgsUsage: "FILE",
		Usage:     "Writes the list, including all acknowledged changes, to a file",
		Flags:     []cli.Flag{a.serversFlag()},
		Action: a.action(exactArguments(1, "the backup's file"), func(ctx context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			return a.withListClient(ctx, cmd, func(ctx context.Context, c *client.Client, out io.Writer) error {
				response, err := c.Do(ctx, http.MethodGet, "/cluster/snapshot", nil, nil)
				if err != nil {
					return err
				}
				snapshot, err := listsvc.ReadBackup(bytes.NewReader(response.Body)) // check the backup before it is written
				if err != nil {
					return err
				}
				if err := writeFileAtomically(file, response.Body); err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: %s\n", file, describeSnapshot(snapshot))
				return nil
			})
		}),
	}
}

// writeFileAtomically writes a temporary file and renames it, so that the file at path is never incomplete.
func writeFileAtomically(path string, data []byte) error {
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

func describeSnapshot(snapshot catalog.Snapshot) string {
	return fmt.Sprintf("version %d of list %s, %d entries, changes kept since version %d", snapshot.Version, snapshot.Cluster,
		len(snapshot.Entries), snapshot.Floor)
}

func newSnapshotInspect(a *app) *cli.Command {
	var asJSON bool
	return &cli.Command{
		Name:      "inspect",
		ArgsUsage: "FILE",
		Usage:     "Checks a backup and summarizes its contents",
		Flags:     []cli.Flag{boolFlag(&asJSON, "json", "print JSON, including the entries")},
		Action: a.action(exactArguments(1, "the backup's file"), func(_ context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			snapshot, err := readBackup(file)
			if err != nil {
				return err
			}
			states, cells := map[catalog.State]int{}, map[int]int{}
			for _, e := range snapshot.Entries {
				states[e.State]++
				cells[e.Cell]++
			}
			out := cmd.Root().Writer
			if asJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", "  ")
				return e.Encode(map[string]any{"list": snapshot.Cluster, "version": snapshot.Version, "floor": snapshot.Floor,
					"entries": snapshot.Entries, "states": states})
			}
			fmt.Fprintf(out, "%s: sound\n%s\n%d partners, %d ready, %d draining\n", file, describeSnapshot(snapshot), len(cells),
				states[catalog.Ready], states[catalog.Draining])
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
		Usage:     "Replaces the cluster's list with a backup",
		Description: `Replaces the list of a cluster with a backup. The id of the list to be replaced has to be given with --replace (it is
shown by "serve status" and "endpoint list"), since a restore to the wrong cluster would remove endpoints that are in use.

The restored list gets a new id and a version above all earlier ones, so that everyone who followed the old list fetches all of it.`,
		Flags: []cli.Flag{a.serversFlag(), required(stringFlag(&replace, "replace", "", "id of the list to be replaced"))},
		Action: a.action(exactArguments(1, "the backup's file"), func(ctx context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			if _, err := readBackup(file); err != nil {
				return err
			}
			data, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			return a.withListClient(ctx, cmd, func(ctx context.Context, c *client.Client, out io.Writer) error {
				response, err := c.Do(ctx, http.MethodPut, "/cluster/snapshot?replace="+url.QueryEscape(replace), nil, data)
				if err != nil {
					return err
				}
				var r catalog.Result
				if err := json.Unmarshal(response.Body, &r); err != nil {
					return err
				}
				fmt.Fprintf(out, "restored: version %d of list %s, %d entries\n", r.Version, response.Header.Get("X-Catalog-Cluster"), r.Changed)
				return nil
			})
		}),
	}
}
