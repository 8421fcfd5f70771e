package checker

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

// ID identifies an object by kind and name.
type ID struct {
	Kind waxwingseam.Kind `json:"kind" cbor:"1,keyasint"`
	Name string           `json:"name" cbor:"2,keyasint"`
}

// String returns the ID as it is written in a section title.
func (id ID) String() string {
	return string(id.Kind) + " " + id.Name
}

// Value is a key of an object with a value other than its default.
type Value struct {
	Key  string `json:"key"`
	Text string `json:"text"`
}

// Object is an object in text form.
type Object struct {
	Kind   waxwingseam.Kind `json:"kind"`
	Name   string           `json:"name"`
	Values []Value          `json:"values"`
}

// ID returns the object's ID.
func (o Object) ID() ID {
	return ID{Kind: o.Kind, Name: o.Name}
}

// equal reports whether two objects have the same values.
func (o Object) equal(other Object) bool {
	return slices.Equal(o.Values, other.Values)
}

// digest returns the xxhash of the object's text.
func (o Object) digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(o.ID().String())
	for _, v := range o.Values {
		_, _ = d.WriteString("\n" + v.Key + " = " + v.Text)
	}
	return d.Sum64()
}

// Objects returns the objects of a normalized set, ordered by kind and name.
func Objects(set *waxwingseam.Set) []Object {
	objects := make([]Object, 0, len(set.BackendServers)+len(set.RequestClasses))
	for _, k := range objectKinds() {
		objects = append(objects, k.objects(set)...)
	}
	return objects
}
