package arbiter

import (
	"cmp"
	"slices"

	"waxwingseam.example/waxwingseam"
)

// view holds the incarnations that count for a quorum. A removed incarnation is
// never added again, so that views can be merged in any order.
type view struct {
	members []waxwingseam.ServerIncarnation
	removed []waxwingseam.ServerIncarnation
}

func compareIncarnations(a, b waxwingseam.ServerIncarnation) int {
	return cmp.Or(
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Term, b.Term),
	)
}

// insert adds an incarnation to a sorted list, unless the list contains it.
func insert(list []waxwingseam.ServerIncarnation, si waxwingseam.ServerIncarnation) []waxwingseam.ServerIncarnation {
	i, found := slices.BinarySearchFunc(list, si, compareIncarnations)
	if found {
		return list
	}
	return slices.Insert(list, i, si)
}

// add makes an incarnation a member and removes earlier incarnations of its
// node, unless the incarnation was removed before or a later one is a member.
func (v *view) add(si waxwingseam.ServerIncarnation) {
	if slices.Contains(v.removed, si) {
		return
	}
	for _, m := range slices.Clone(v.members) {
		switch {
		case m.Name == si.Name && compareIncarnations(m, si) > 0:
			v.removed = insert(v.removed, si)
			return
		case m.Name == si.Name && compareIncarnations(m, si) < 0:
			v.remove(m)
		}
	}
	v.members = insert(v.members, si)
}

// remove removes an incarnation for good.
func (v *view) remove(si waxwingseam.ServerIncarnation) {
	v.members = slices.DeleteFunc(v.members, func(m waxwingseam.ServerIncarnation) bool { return m == si })
	v.removed = insert(v.removed, si)
}

// merge applies the removals and the members of another node's view.
func (v *view) merge(o waxwingseam.View) {
	for _, si := range o.Removed {
		v.remove(si)
	}
	for _, si := range o.Members {
		v.add(si)
	}
}

// contains reports whether an incarnation is a member.
func (v *view) contains(si waxwingseam.ServerIncarnation) bool {
	return slices.Contains(v.members, si)
}

// hasSameMembers reports whether another node's view has the same members.
func (v *view) hasSameMembers(o waxwingseam.View) bool {
	return slices.Equal(v.members, o.Members)
}

// quorum returns the number of grants that a claim needs.
func (v *view) quorum() int {
	return len(v.members)/2 + 1
}

func (v *view) export() waxwingseam.View {
	return waxwingseam.View{
		Members: slices.Clone(v.members),
		Removed: slices.Clone(v.removed),
	}
}
