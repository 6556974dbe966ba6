package declarer

import (
	"cmp"
	"reflect"
	"slices"
)

// Merge applies a release note to d and returns the resulting declaration, or
// the reasons why the note cannot be applied. A declaration without limits gets
// DefaultLimits.
func Merge(d Declaration, note ReleaseNote) (merged Declaration, faults []Fault) {
	list := faultList{file: note.File}
	list.faults = note.faults()
	merged = d
	if merged.Limits == (Limits{}) {
		merged.Limits = DefaultLimits()
	}
	merged.Limits = note.Changed.Limits.apply(merged.Limits)
	added := note.Added.tables()
	changed := note.Changed.tables()
	for i, table := range merged.tables() {
		m := tableMerge{
			kind:      table.kind,
			current:   table.objects(),
			added:     added[i].objects(),
			changed:   changed[i].objects(),
			withdrawn: note.Withdrawn.names(table.kind),
		}
		table.set(m.merge(&list))
	}
	// The objects of the note were validated one by one above; this checks the
	// merged declaration for duplicates and dangling references.
	v := validator{list: faultList{file: note.File}}
	v.checkDuplicates(merged)
	v.checkReferences(merged)
	list.addForNewKeys(v.list.faults)
	if len(list.faults) > 0 {
		return Declaration{}, list.sorted()
	}
	return merged.Sorted(), nil
}

// A tableMerge applies a release note to the objects of one kind.
type tableMerge struct {
	kind      string
	current   []object
	added     []object
	changed   []object
	withdrawn []string
}

func (t tableMerge) merge(list *faultList) []object {
	index := byName(t.current)
	for _, name := range t.withdrawn {
		if index[name] == nil {
			list.add(joinPath(joinPath("withdrawn", t.kind+"s"), name), "does not exist")
		}
		delete(index, name)
	}
	for _, o := range t.changed {
		if index[o.objectName()] == nil {
			list.add(joinPath(joinPath("changed", t.kind), o.objectName()), "does not exist")
		}
		index[o.objectName()] = o
	}
	for _, o := range t.added {
		if index[o.objectName()] != nil {
			list.add(joinPath(joinPath("added", t.kind), o.objectName()), "exists already")
		}
		index[o.objectName()] = o
	}
	objects := make([]object, 0, len(index))
	for _, o := range index {
		objects = append(objects, o)
	}
	return objects
}

// A ChangeKind tells whether an object was added, changed or withdrawn.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded     ChangeKind = "added"
	ChangeChanged   ChangeKind = "changed"
	ChangeWithdrawn ChangeKind = "withdrawn"
)

// A Change is a difference between two declarations.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Object string     `json:"object"`         // Kind of the object, such as "workspace".
	Name   string     `json:"name,omitempty"` // Empty for the limits.
}

// Diff returns the changes from before to after, sorted by object and name.
func Diff(before, after Declaration) (changes []Change) {
	before = before.Sorted()
	after = after.Sorted()
	if before.Limits != after.Limits {
		changes = append(changes, Change{Kind: ChangeChanged, Object: KindLimits})
	}
	afterTables := after.tables()
	for i, table := range before.tables() {
		changes = append(changes, diffTable(table.kind, byName(table.objects()), byName(afterTables[i].objects()))...)
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Object, b.Object), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

func diffTable(kind string, before, after map[string]object) (changes []Change) {
	for name, o := range after {
		switch old, ok := before[name]; {
		case !ok:
			changes = append(changes, Change{Kind: ChangeAdded, Object: kind, Name: name})
		case !reflect.DeepEqual(old, o):
			changes = append(changes, Change{Kind: ChangeChanged, Object: kind, Name: name})
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			changes = append(changes, Change{Kind: ChangeWithdrawn, Object: kind, Name: name})
		}
	}
	return changes
}
