package checker

import (
	"cmp"
	"slices"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/scanner"
)

// field is one key of an object kind.
type field[T any] struct {
	key      string
	required bool
	// read parses the text into the field of an object.
	read func(object *T, text string) error
	// write returns the field's text, or "" to omit the key.
	write func(object *T) string
}

// objectKind parses, formats and edits the objects of one kind. Methods that
// search by name require sets in canonical order.
type objectKind interface {
	kind() waxwingseam.Kind
	// parse adds the object that a section defines to the set.
	parse(s *section, set *waxwingseam.Set) waxwingseam.Findings
	// normalize sorts the set's objects into canonical order.
	normalize(set *waxwingseam.Set)
	// objects returns the set's objects in the order of the set.
	objects(set *waxwingseam.Set) []Object
	// object returns the named object and whether the set contains it.
	object(set *waxwingseam.Set, name string) (Object, bool)
	// objectWithoutKeys returns the named object of the set without keys.
	objectWithoutKeys(set *waxwingseam.Set, name string) (Object, bool)
	// put adds the objects of other to set, replacing those of the same name.
	put(set, other *waxwingseam.Set)
	// remove deletes the named object if the set contains it.
	remove(set *waxwingseam.Set, name string)
	// copyTo adds the named object of set to other and reports whether set
	// contains it.
	copyTo(set, other *waxwingseam.Set, name string) bool
}

// typedKind implements objectKind for objects of type T.
type typedKind[T any] struct {
	name   waxwingseam.Kind
	fields []field[T]
	// newObject returns an object with default values.
	newObject func(name string) T
	// nameOf returns an object's name.
	nameOf func(object T) string
	// withoutKeys returns an object without secrets; nil if the kind has none.
	withoutKeys func(object T) T
	// list returns a pointer to the set's list of objects of the kind.
	list func(set *waxwingseam.Set) *[]T
}

func (k *typedKind[T]) kind() waxwingseam.Kind {
	return k.name
}

func (k *typedKind[T]) parse(s *section, set *waxwingseam.Set) waxwingseam.Findings {
	var findings waxwingseam.Findings
	object := k.newObject(s.name)
	seen := map[string]bool{}
	for _, v := range s.Keys {
		if text := k.parseKey(&object, v, seen[v.Name]); text != "" {
			f := s.keyFinding(v.Name, text)
			f.Line = v.Line
			findings = append(findings, f)
		}
		seen[v.Name] = true
	}
	for _, f := range k.fields {
		if f.required && !seen[f.key] {
			findings = append(findings, s.keyFinding(f.key, "is required"))
		}
	}
	list := k.list(set)
	*list = append(*list, object)
	return findings
}

// parseKey sets one field and returns the text of a finding, or "" if the key is
// valid.
func (k *typedKind[T]) parseKey(object *T, v scanner.Key, repeated bool) string {
	i := slices.IndexFunc(k.fields, func(f field[T]) bool { return f.key == v.Name })
	if i < 0 {
		return "is not a key of " + string(k.name)
	}
	if repeated {
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

func (k *typedKind[T]) normalize(set *waxwingseam.Set) {
	slices.SortStableFunc(*k.list(set), func(a, b T) int {
		return cmp.Compare(k.nameOf(a), k.nameOf(b))
	})
}

func (k *typedKind[T]) objects(set *waxwingseam.Set) []Object {
	objects := make([]Object, 0, len(*k.list(set)))
	for _, v := range *k.list(set) {
		objects = append(objects, k.objectOf(v))
	}
	return objects
}

func (k *typedKind[T]) objectOf(v T) Object {
	o := Object{Kind: k.name, Name: k.nameOf(v)}
	for _, f := range k.fields {
		if text := f.write(&v); text != "" {
			o.Values = append(o.Values, Value{Key: f.key, Text: text})
		}
	}
	return o
}

// find returns the index of the named object in a list sorted by name, or the
// index to insert it at, and whether the list contains it.
func (k *typedKind[T]) find(list []T, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(v T, name string) int {
		return cmp.Compare(k.nameOf(v), name)
	})
}

func (k *typedKind[T]) object(set *waxwingseam.Set, name string) (Object, bool) {
	list := *k.list(set)
	i, ok := k.find(list, name)
	if !ok {
		return Object{}, false
	}
	return k.objectOf(list[i]), true
}

func (k *typedKind[T]) objectWithoutKeys(set *waxwingseam.Set, name string) (Object, bool) {
	list := *k.list(set)
	i, ok := k.find(list, name)
	if !ok {
		return Object{}, false
	}
	if k.withoutKeys == nil {
		return k.objectOf(list[i]), true
	}
	return k.objectOf(k.withoutKeys(list[i])), true
}

func (k *typedKind[T]) put(set, other *waxwingseam.Set) {
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

func (k *typedKind[T]) remove(set *waxwingseam.Set, name string) {
	list := k.list(set)
	if i, ok := k.find(*list, name); ok {
		*list = slices.Delete(*list, i, i+1)
	}
}

func (k *typedKind[T]) copyTo(set, other *waxwingseam.Set, name string) bool {
	list := *k.list(set)
	i, ok := k.find(list, name)
	if !ok {
		return false
	}
	to := k.list(other)
	index, _ := k.find(*to, name)
	*to = slices.Insert(*to, index, list[i])
	return true
}
