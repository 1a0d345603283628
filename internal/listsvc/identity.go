package listsvc

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"wallflow/internal/durable"
)

const (
	identityFormat = 1
	identityKey    = "wallflow/identity"
)

// identity identifies a server. It is generated at the first start and stored in the server's directory. A server that restarts
// with an empty directory has lost its votes, so it must be a different server to raft.
type identity struct {
	Format   int       `json:"format"`
	ID       string    `json:"id"`
	Name     string    `json:"name"`
	Cluster  string    `json:"cluster,omitempty"`  // cluster of which it is a member; empty if none yet
	Founding *Founding `json:"founding,omitempty"` // founding in which it has promised to take part
}

// Founding describes the first start of a cluster. If the founder's directory were emptied during it, or two processes had the
// same name, two clusters could arise from one list of servers. So each server permanently promises to take part in a
// single founding, and a founding needs the promise of every server.
type Founding struct {
	Cluster string `json:"cluster"`
	Founder string `json:"founder"` // server ID of the founder
	Round   int    `json:"round"`   // incremented if a server's ID changes before the founding is complete
	Servers []Peer `json:"servers"`
}

func (f *Founding) equal(other *Founding) bool {
	return f.Cluster == other.Cluster && f.Founder == other.Founder && f.Round == other.Round && slices.Equal(f.Servers, other.Servers)
}

// ids returns the name and ID of each server, for the log.
func (f *Founding) ids() []string {
	ids := make([]string, len(f.Servers))
	for i, p := range f.Servers {
		ids[i] = p.Name + "/" + p.ID
	}
	return ids
}

// check returns an error if the server with the identity own cannot take part. names are its configured initial servers, and
// hasState says that its raft state already has a configuration.
func (f *Founding) check(own identity, names []string, hasState bool) error {
	if hasState || own.Cluster != "" && own.Founding == nil {
		return fmt.Errorf("server %s is part of cluster %s already", own.Name, own.Cluster)
	}
	var foundingNames []string
	included := false
	for _, p := range f.Servers {
		foundingNames = append(foundingNames, p.Name)
		if p.Name != own.Name {
			continue
		}
		if included = p.ID == own.ID; !included {
			return fmt.Errorf("server %s is %s, not %s: its folder is another one", own.Name, own.ID, p.ID)
		}
	}
	if !included || !slices.Equal(foundingNames, names) {
		return fmt.Errorf("server %s was told of the servers %v, and is to found a cluster of %v", own.Name, names, foundingNames)
	}
	if promised := own.Founding; promised != nil && !promised.equal(f) && (promised.Founder != f.Founder || promised.Round >= f.Round) {
		return fmt.Errorf("server %s has promised itself to cluster %s, founded by %s in round %d", own.Name, promised.Cluster, promised.Founder, promised.Round)
	}
	return nil
}

// readIdentity reads the identity from the store, or generates and stores one.
func readIdentity(s *durable.Store, name string) (identity, error) {
	data, err := s.Get([]byte(identityKey))
	if err != nil {
		return identity{}, fmt.Errorf("identity: %w", err)
	}
	if len(data) == 0 {
		i := identity{Format: identityFormat, ID: randomID(), Name: name}
		return i, i.save(s)
	}
	var i identity
	if err := json.Unmarshal(data, &i); err != nil {
		return identity{}, fmt.Errorf("identity: %w", err)
	}
	switch {
	case i.Format != identityFormat:
		return identity{}, fmt.Errorf("identity: format %d, this build reads %d", i.Format, identityFormat)
	case i.ID == "":
		return identity{}, errors.New("identity: id: is missing")
	case i.Name != name:
		return identity{}, fmt.Errorf("it belongs to server %q, not to %q", i.Name, name)
	}
	return i, nil
}

// save writes the identity to the store.
func (i identity) save(s *durable.Store) error {
	data, err := json.Marshal(i)
	if err != nil {
		return err
	}
	if err := s.Set([]byte(identityKey), data); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	return nil
}

// randomID returns a random 64-bit ID in hexadecimal.
func randomID() string {
	var b [8]byte
	rand.Read(b[:]) // never returns an error
	return hex.EncodeToString(b[:])
}
