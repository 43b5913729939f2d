package snapshot

import "github.com/goldcrestshed/goldcrestshed/internal/profile"

// Organisations finds an organisation by a key. It is immutable, and nil where
// there are no organisations.
type Organisations struct {
	all   []*profile.Organisation // sorted by name
	byKey map[profile.KeyHash]*profile.Organisation
}

// NewOrganisations returns the index of the organisations, or nil for none. A key
// that several of them hold identifies none: documents with such a key are refused
// where they are written, but a merge of two histories of the log may leave them.
func NewOrganisations(all []*profile.Organisation) *Organisations {
	if len(all) == 0 {
		return nil
	}
	o := &Organisations{all: all, byKey: map[profile.KeyHash]*profile.Organisation{}}
	holders := profile.KeyHolders(all)
	for _, organisation := range all {
		for _, h := range organisation.KeyHashes {
			if len(holders[h]) == 1 {
				o.byKey[h] = organisation
			}
		}
	}
	return o
}

// All returns the organisations, sorted by name.
func (o *Organisations) All() []*profile.Organisation {
	if o == nil {
		return nil
	}
	return o.all
}

// Identify returns the organisation that holds a key, or nil.
func (o *Organisations) Identify(h profile.KeyHash) *profile.Organisation {
	if o == nil {
		return nil
	}
	return o.byKey[h]
}

// Named returns the organisation with a name, or nil.
func (o *Organisations) Named(name string) *profile.Organisation {
	for _, organisation := range o.All() {
		if organisation.Name == name {
			return organisation
		}
	}
	return nil
}

// Identify returns the organisation that holds a key in the newest snapshot, or
// nil, and whether calls need a key at all: there are organisations. A call is
// identified by the Organisations of its Match instead, so that one snapshot
// decides its route and its key.
func (c *Cache) Identify(h profile.KeyHash) (organisation *profile.Organisation, required bool) {
	s := c.latest.Load()
	if s == nil {
		return nil, false
	}
	return s.Organisations.Identify(h), s.Organisations != nil
}
