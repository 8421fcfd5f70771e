package checker

import (
	"cmp"
	"slices"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/scanner"
)

// field is one key of a kind of objects.
type field[T any] struct {
	key      string
	required bool
	// read sets the field from its text.
	read func(object *T, text string) error
	// write returns the field's text; empty at its default.
	write func(object *T) string
}

// element is one kind of objects: how they are read, checked and written.
type element interface {
	kind() waxwingseam.Kind
	// parse adds the object of a section to the set.
	parse(s *section, set *waxwingseam.Set) waxwingseam.Findings
	// normalize brings the set's objects into the canonical order.
	normalize(set *waxwingseam.Set)
	// objects returns the set's objects in that order.
	objects(set *waxwingseam.Set) []Object
	// object returns the named object of a set in the canonical order.
	object(set *waxwingseam.Set, name string) (Object, bool)
	// put replaces or adds the objects that other holds.
	put(set, other *waxwingseam.Set)
	// remove takes an object out.
	remove(set *waxwingseam.Set, name string)
	// copyTo adds the named object of set to other; false when set has none.
	copyTo(set, other *waxwingseam.Set, name string) bool
}

// kindOf implements element for the objects of type T.
type kindOf[T any] struct {
	name   waxwingseam.Kind
	fields []field[T]
	// fresh returns an object with its defaults.
	fresh func(name string) T
	// nameOf returns an object's name.
	nameOf func(object T) string
	// list returns the set's objects of the kind.
	list func(set *waxwingseam.Set) *[]T
}

func (k *kindOf[T]) kind() waxwingseam.Kind {
	return k.name
}

func (k *kindOf[T]) parse(s *section, set *waxwingseam.Set) waxwingseam.Findings {
	var findings waxwingseam.Findings
	object := k.fresh(s.name)
	seen := map[string]bool{}
	for _, v := range s.Keys {
		if text := k.parseKey(&object, v, seen[v.Name]); text != "" {
			f := s.atKey(v.Name, text)
			f.Line = v.Line
			findings = append(findings, f)
		}
		seen[v.Name] = true
	}
	for _, f := range k.fields {
		if f.required && !seen[f.key] {
			findings = append(findings, s.atKey(f.key, "is required"))
		}
	}
	list := k.list(set)
	*list = append(*list, object)
	return findings
}

// parseKey sets one field and returns what is wrong with it, if anything is.
func (k *kindOf[T]) parseKey(object *T, v scanner.Key, again bool) string {
	i := slices.IndexFunc(k.fields, func(f field[T]) bool { return f.key == v.Name })
	if i < 0 {
		return "is not a key of " + string(k.name)
	}
	if again {
		return "stands twice in its section"
	}
	if v.Value == "" {
		return "has no value"
	}
	if err := k.fields[i].read(object, v.Value); err != nil {
		return err.Error()
	}
	return ""
}

func (k *kindOf[T]) normalize(set *waxwingseam.Set) {
	slices.SortStableFunc(*k.list(set), func(a, b T) int {
		return cmp.Compare(k.nameOf(a), k.nameOf(b))
	})
}

func (k *kindOf[T]) objects(set *waxwingseam.Set) []Object {
	objects := make([]Object, 0, len(*k.list(set)))
	for _, v := range *k.list(set) {
		objects = append(objects, k.objectOf(v))
	}
	return objects
}

func (k *kindOf[T]) objectOf(v T) Object {
	o := Object{Kind: k.name, Name: k.nameOf(v)}
	for _, f := range k.fields {
		if text := f.write(&v); text != "" {
			o.Values = append(o.Values, Value{Key: f.key, Text: text})
		}
	}
	return o
}

// find returns the place of an object in a list in order of names, and
// whether it is there.
func (k *kindOf[T]) find(list []T, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(v T, name string) int {
		return cmp.Compare(k.nameOf(v), name)
	})
}

func (k *kindOf[T]) object(set *waxwingseam.Set, name string) (Object, bool) {
	list := *k.list(set)
	i, ok := k.find(list, name)
	if !ok {
		return Object{}, false
	}
	return k.objectOf(list[i]), true
}

func (k *kindOf[T]) put(set, other *waxwingseam.Set) {
	list := k.list(set)
	for _, v := range *k.list(other) {
		i, ok := k.find(*list, k.nameOf(v))
		if ok {
			(*list)[i] = v
			continue
		}
		*list = slices.Insert(*list, i, v)
	}
}

func (k *kindOf[T]) remove(set *waxwingseam.Set, name string) {
	list := k.list(set)
	if i, ok := k.find(*list, name); ok {
		*list = slices.Delete(*list, i, i+1)
	}
}

func (k *kindOf[T]) copyTo(set, other *waxwingseam.Set, name string) bool {
	list := *k.list(set)
	i, ok := k.find(list, name)
	if !ok {
		return false
	}
	to := k.list(other)
	at, _ := k.find(*to, name)
	*to = slices.Insert(*to, at, list[i])
	return true
}
