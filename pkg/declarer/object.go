package declarer

import (
	"cmp"
	"reflect"
	"slices"
)

// The kinds of declared objects, as they appear in TOML keys.
const (
	KindBackendServer = "backend-server"
	KindFailureDomain = "failure-domain"
	KindKey           = "key"
	KindLimits        = "limits"
	KindModel         = "model"
	KindRoute         = "route"
	KindWorkspace     = "workspace"
)

// An object is a declared object of any kind. Names are unique within a kind.
type object interface {
	objectName() string
}

func (s BackendServer) objectName() string { return s.Name }
func (d FailureDomain) objectName() string { return d.Name }
func (k Key) objectName() string           { return k.Name }
func (m Model) objectName() string         { return m.Name }
func (r Route) objectName() string         { return r.Name }
func (w Workspace) objectName() string     { return w.Name }

// An objectTable gives access to the objects of one kind.
type objectTable struct {
	kind string
	rows any // Points to a slice of one of the object types.
}

// tables returns the tables of a declaration, sorted by kind.
func (d *Declaration) tables() []objectTable {
	return []objectTable{
		{kind: KindBackendServer, rows: &d.BackendServers},
		{kind: KindFailureDomain, rows: &d.FailureDomains},
		{kind: KindKey, rows: &d.Keys},
		{kind: KindModel, rows: &d.Models},
		{kind: KindRoute, rows: &d.Routes},
		{kind: KindWorkspace, rows: &d.Workspaces},
	}
}

// tables returns the tables of one section of a release note, in the order of
// Declaration.tables.
func (o *Objects) tables() []objectTable {
	return []objectTable{
		{kind: KindBackendServer, rows: &o.BackendServers},
		{kind: KindFailureDomain, rows: &o.FailureDomains},
		{kind: KindKey, rows: &o.Keys},
		{kind: KindModel, rows: &o.Models},
		{kind: KindRoute, rows: &o.Routes},
		{kind: KindWorkspace, rows: &o.Workspaces},
	}
}

// names returns the withdrawn names of a kind.
func (w Withdrawn) names(kind string) []string {
	switch kind {
	case KindBackendServer:
		return w.BackendServers
	case KindFailureDomain:
		return w.FailureDomains
	case KindKey:
		return w.Keys
	case KindModel:
		return w.Models
	case KindRoute:
		return w.Routes
	case KindWorkspace:
		return w.Workspaces
	}
	return nil
}

// objects returns the rows of the table.
func (t objectTable) objects() []object {
	rows := reflect.ValueOf(t.rows).Elem()
	objects := make([]object, 0, rows.Len())
	for i := range rows.Len() {
		objects = append(objects, rows.Index(i).Interface().(object))
	}
	return objects
}

// set replaces the rows of the table with objects of its kind, sorted by name.
func (t objectTable) set(objects []object) {
	objects = slices.Clone(objects)
	slices.SortStableFunc(objects, func(a, b object) int {
		return cmp.Compare(a.objectName(), b.objectName())
	})
	rows := reflect.ValueOf(t.rows).Elem()
	rows.SetZero()
	for _, o := range objects {
		rows.Set(reflect.Append(rows, reflect.ValueOf(o)))
	}
}

// byName indexes objects by name.
func byName(objects []object) map[string]object {
	index := make(map[string]object, len(objects))
	for _, o := range objects {
		index[o.objectName()] = o
	}
	return index
}

// Sorted returns a copy in which every list is sorted and empty lists are nil,
// so that equal declarations have equal encodings.
func (d Declaration) Sorted() Declaration {
	for _, table := range d.tables() {
		table.set(table.objects())
	}
	for i := range d.BackendServers {
		d.BackendServers[i].Models = sortedNames(d.BackendServers[i].Models)
	}
	for i := range d.Models {
		d.Models[i].Adapters = sortedNames(d.Models[i].Adapters)
	}
	return d
}

func sortedNames(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	names = slices.Clone(names)
	slices.Sort(names)
	return names
}
