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

// identity is who a server is. It is drawn at the first start and lies in the server's folder: one that comes back with an
// empty folder has forgotten whom it voted for, and is another server.
type identity struct {
	Format   int       `json:"format"`
	ID       string    `json:"id"`
	Name     string    `json:"name"`
	Cluster  string    `json:"cluster,omitempty"`  // it is part of; empty: of none yet
	Founding *Founding `json:"founding,omitempty"` // it has promised itself to
}

// Founding is a first start that servers have agreed on. Two clusters could come of one list of servers where a founder's folder
// is emptied half way, or two processes run under one name: so each server promises itself to one founding, for good, and a
// founding needs the promise of all.
type Founding struct {
	Cluster string `json:"cluster"`
	Founder string `json:"founder"` // its id
	Round   int    `json:"round"`   // a founder that begins anew, since another's folder was emptied, has not founded before
	Servers []Peer `json:"servers"`
}

func (f *Founding) equal(g *Founding) bool {
	return f.Cluster == g.Cluster && f.Founder == g.Founder && f.Round == g.Round && slices.Equal(f.Servers, g.Servers)
}

func (f *Founding) ids() []string {
	ids := make([]string, len(f.Servers))
	for i, p := range f.Servers {
		ids[i] = p.Name + "/" + p.ID
	}
	return ids
}

// check tells why this server cannot take part; hasState: it is part of a cluster already.
func (f *Founding) check(own identity, names []string, hasState bool) error {
	if hasState || own.Cluster != "" && own.Founding == nil {
		return fmt.Errorf("server %s is part of cluster %s already", own.Name, own.Cluster)
	}
	var there []string
	found := false
	for _, p := range f.Servers {
		there = append(there, p.Name)
		if p.Name != own.Name {
			continue
		}
		if found = p.ID == own.ID; !found {
			return fmt.Errorf("server %s is %s, not %s: its folder is another one", own.Name, own.ID, p.ID)
		}
	}
	if !found || !slices.Equal(there, names) {
		return fmt.Errorf("server %s was told of the servers %v, and is to found a cluster of %v", own.Name, names, there)
	}
	if was := own.Founding; was != nil && !was.equal(f) && (was.Founder != f.Founder || was.Round >= f.Round) {
		return fmt.Errorf("server %s has promised itself to cluster %s, founded by %s in round %d", own.Name, was.Cluster, was.Founder, was.Round)
	}
	return nil
}

// readIdentity reads the identity that lies in the store, or draws one.
func readIdentity(s *durable.Store, name string) (identity, error) {
	data, err := s.Get([]byte(identityKey))
	if err != nil {
		return identity{}, fmt.Errorf("identity: %w", err)
	}
	if len(data) == 0 {
		i := identity{Format: identityFormat, ID: draw(), Name: name}
		return i, i.keep(s)
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
		return identity{}, fmt.Errorf("the folder is that of server %q, and this one is to be %q", i.Name, name)
	}
	return i, nil
}

func (i identity) keep(s *durable.Store) error {
	data, err := json.Marshal(i)
	if err != nil {
		return err
	}
	if err := s.Set([]byte(identityKey), data); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	return nil
}

// draw returns an id that no other has.
func draw() string {
	var b [8]byte
	rand.Read(b[:]) // does not fail
	return hex.EncodeToString(b[:])
}
