package arbiter

import (
	"cmp"
	"slices"

	"waxwingseam.example/waxwingseam"
)

// view is the lives that count for a quorum. A life that was removed never
// comes back, so that views can be merged in any order.
type view struct {
	members []waxwingseam.ServerIncarnation
	removed []waxwingseam.ServerIncarnation
}

func compare(a, b waxwingseam.ServerIncarnation) int {
	return cmp.Or(
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Term, b.Term),
	)
}

// insert adds a life to a sorted list, once.
func insert(list []waxwingseam.ServerIncarnation, l waxwingseam.ServerIncarnation) []waxwingseam.ServerIncarnation {
	i, found := slices.BinarySearchFunc(list, l, compare)
	if found {
		return list
	}
	return slices.Insert(list, i, l)
}

// add counts a life; an earlier one of the same node counts no more.
func (v *view) add(l waxwingseam.ServerIncarnation) {
	if slices.Contains(v.removed, l) {
		return
	}
	for _, m := range slices.Clone(v.members) {
		switch {
		case m.Name == l.Name && compare(m, l) > 0:
			v.removed = insert(v.removed, l)
			return
		case m.Name == l.Name && compare(m, l) < 0:
			v.remove(m)
		}
	}
	v.members = insert(v.members, l)
}

// remove counts a life no more.
func (v *view) remove(l waxwingseam.ServerIncarnation) {
	v.members = slices.DeleteFunc(v.members, func(m waxwingseam.ServerIncarnation) bool { return m == l })
	v.removed = insert(v.removed, l)
}

// merge takes in what another node counts.
func (v *view) merge(o waxwingseam.View) {
	for _, l := range o.Removed {
		v.remove(l)
	}
	for _, l := range o.Members {
		v.add(l)
	}
}

// has reports whether a life counts.
func (v *view) has(l waxwingseam.ServerIncarnation) bool {
	return slices.Contains(v.members, l)
}

// agrees reports whether another node counts the same lives.
func (v *view) agrees(o waxwingseam.View) bool {
	return slices.Equal(v.members, o.Members)
}

// quorum is the number of lives whose grants make a claim.
func (v *view) quorum() int {
	return len(v.members)/2 + 1
}

func (v *view) export() waxwingseam.View {
	return waxwingseam.View{
		Members: slices.Clone(v.members),
		Removed: slices.Clone(v.removed),
	}
}
