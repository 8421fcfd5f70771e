package checker

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// Change is the difference between two sets: the objects to add or replace, and
// the IDs of those to remove.
type Change struct {
	Put  waxwingseam.Set `cbor:"1,keyasint"`
	Gone []ID            `cbor:"2,keyasint,omitempty"`
}

// Difference is one object that differs between two sets.
type Difference struct {
	ID
	// Before and After are the object's values in the two sets; nil if a set
	// does not contain the object.
	Before []Value `json:"before,omitempty"`
	After  []Value `json:"after,omitempty"`
}

// Differences returns the objects that differ between two sets, ordered by kind
// and name.
func Differences(from, to *waxwingseam.Set) []Difference {
	before, after := objectsByID(from), objectsByID(to)
	var differences []Difference
	for _, o := range Objects(from) {
		if n, ok := after[o.ID()]; !ok || !o.equal(n) {
			differences = append(differences, Difference{ID: o.ID(), Before: o.Values, After: n.Values})
		}
	}
	for _, o := range Objects(to) {
		if _, ok := before[o.ID()]; !ok {
			differences = append(differences, Difference{ID: o.ID(), After: o.Values})
		}
	}
	slices.SortStableFunc(differences, func(a, b Difference) int { return compareID(a.ID, b.ID) })
	return differences
}

func objectsByID(set *waxwingseam.Set) map[ID]Object {
	objects := map[ID]Object{}
	for _, o := range Objects(set) {
		objects[o.ID()] = o
	}
	return objects
}

// ChangeOf returns the change that turns one set into another.
func ChangeOf(from, to *waxwingseam.Set) Change {
	var c Change
	for _, d := range Differences(from, to) {
		if d.After == nil {
			c.Gone = append(c.Gone, d.ID)
			continue
		}
		findKind(d.Kind).copyTo(to, &c.Put, d.Name)
	}
	return c
}

// WithoutKeys returns a change with the digests of keys in place of the keys.
func (c *Change) WithoutKeys() Change {
	return Change{Put: *WithoutKeys(&c.Put), Gone: c.Gone}
}

// IDs returns the IDs of the changed objects, ordered by kind and name.
func (c *Change) IDs() []ID {
	ids := slices.Clone(c.Gone)
	for _, o := range Objects(&c.Put) {
		ids = append(ids, o.ID())
	}
	slices.SortFunc(ids, compareID)
	return ids
}

// Apply returns a copy of a set with the change applied. The set must be in
// canonical order and is not modified.
func (c *Change) Apply(set *waxwingseam.Set) *waxwingseam.Set {
	next := Clone(set)
	c.ApplyTo(next)
	return next
}

// ApplyTo applies the change in place to a set in canonical order.
func (c *Change) ApplyTo(next *waxwingseam.Set) {
	for _, id := range c.Gone {
		if k := findKind(id.Kind); k != nil {
			k.remove(next, id.Name)
		}
	}
	for _, k := range objectKinds() {
		k.put(next, &c.Put)
	}
}

// Digest returns the digest of a set after the change. The arguments are the set
// before the change, in canonical order, and its digest.
func (c *Change) Digest(set *waxwingseam.Set, digest uint64) uint64 {
	put := WithoutKeys(&c.Put)
	for _, id := range c.IDs() {
		k := findKind(id.Kind)
		if k == nil {
			continue
		}
		if before, ok := k.objectWithoutKeys(set, id.Name); ok {
			digest -= before.digest()
		}
		if after, ok := k.object(put, id.Name); ok {
			digest += after.digest()
		}
	}
	return digest
}

// Clone returns a copy of a set with its own lists of objects. Lists within the
// objects, such as the targets of a class, are shared.
func Clone(set *waxwingseam.Set) *waxwingseam.Set {
	return &waxwingseam.Set{
		Revision:       set.Revision,
		Number:         set.Number,
		Base:           set.Base,
		Services:       slices.Clone(set.Services),
		BackendServers: slices.Clone(set.BackendServers),
		RequestClasses: slices.Clone(set.RequestClasses),
		RetryLimits:    slices.Clone(set.RetryLimits),
		WaitLimits:     slices.Clone(set.WaitLimits),
		CallerLimits:   slices.Clone(set.CallerLimits),
		ClientAccounts: slices.Clone(set.ClientAccounts),
	}
}

func compareID(a, b ID) int {
	if a.Kind != b.Kind {
		return slices.IndexFunc(objectKinds(), isKind(a.Kind)) - slices.IndexFunc(objectKinds(), isKind(b.Kind))
	}
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}

func isKind(kind waxwingseam.Kind) func(objectKind) bool {
	return func(k objectKind) bool { return k.kind() == kind }
}

// Reverse returns the change that undoes c after it was applied to set.
func Reverse(c Change, set *waxwingseam.Set) Change {
	var reverse Change
	for _, id := range c.IDs() {
		k := findKind(id.Kind)
		if k == nil {
			continue
		}
		if !k.copyTo(set, &reverse.Put, id.Name) {
			reverse.Gone = append(reverse.Gone, id)
		}
	}
	return reverse
}
