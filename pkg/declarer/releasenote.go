package declarer

import "slices"

// A ReleaseNote lists what an operator adds, changes and withdraws. A changed
// object replaces the whole object of its name.
type ReleaseNote struct {
	File      string    `toml:"-"` // Appears in faults.
	Title     string    `toml:"title"`
	Added     Objects   `toml:"added"`
	Changed   Changed   `toml:"changed"`
	Withdrawn Withdrawn `toml:"withdrawn"`
}

// Objects are declared objects of all kinds.
type Objects struct {
	BackendServers []BackendServer `toml:"backend-server"`
	FailureDomains []FailureDomain `toml:"failure-domain"`
	Keys           []Key           `toml:"key"`
	Models         []Model         `toml:"model"`
	Routes         []Route         `toml:"route"`
	Workspaces     []Workspace     `toml:"workspace"`
}

// Changed are the objects with new contents and the limits with new values.
type Changed struct {
	Objects
	Limits LimitsChange `toml:"limits"`
}

// A LimitsChange sets some of the limits; nil leaves a limit as it is.
type LimitsChange struct {
	StandingShare *float64 `toml:"standing-share"`
	StandingSlots *int     `toml:"standing-slots"`
	RateShards    *int     `toml:"rate-shards"`
}

// Withdrawn are the names of objects that cease to exist.
type Withdrawn struct {
	BackendServers []string `toml:"backend-servers"`
	FailureDomains []string `toml:"failure-domains"`
	Keys           []string `toml:"keys"`
	Models         []string `toml:"models"`
	Routes         []string `toml:"routes"`
	Workspaces     []string `toml:"workspaces"`
}

// ParseReleaseNote reads a release note and reports the faults that can be
// seen without the declaration that it changes.
func ParseReleaseNote(file string, data []byte) (note ReleaseNote, faults []Fault) {
	list := faultList{file: file}
	faults, readable := DecodeTOML(file, data, &note)
	if !readable {
		return ReleaseNote{}, faults
	}
	note.File = file
	list.faults = faults
	list.join(note.faults())
	return note, list.sorted()
}

// Mentions reports whether the note adds, changes or withdraws an object.
func (n ReleaseNote) Mentions(kind, name string) bool {
	if kind == KindLimits {
		return !n.Changed.Limits.empty()
	}
	return slices.Contains(n.mentioned(kind), name)
}

// mentioned returns the names of a kind with repetitions.
func (n *ReleaseNote) mentioned(kind string) (names []string) {
	for _, objects := range []*Objects{&n.Added, &n.Changed.Objects} {
		for _, table := range objects.tables() {
			if table.kind != kind {
				continue
			}
			for _, o := range table.objects() {
				names = append(names, o.objectName())
			}
		}
	}
	return append(names, n.Withdrawn.names(kind)...)
}

// faults returns what is wrong in the note itself.
func (n ReleaseNote) faults() []Fault {
	v := validator{list: faultList{file: n.File}}
	if n.Title == "" {
		v.list.add("title", "is missing")
	}
	v.mentions(n)
	v.prefix = "added"
	v.objects(n.Added)
	v.prefix = "changed"
	v.objects(n.Changed.Objects)
	v.limits(n.Changed.Limits.apply(DefaultLimits()))
	return v.list.sorted()
}

// mentions checks that each object is mentioned once, and some object at all.
func (v *validator) mentions(n ReleaseNote) {
	empty := n.Changed.Limits.empty()
	for _, table := range n.Added.tables() {
		names := n.mentioned(table.kind)
		if len(names) == 0 {
			continue
		}
		empty = false
		slices.Sort(names)
		for i := 1; i < len(names); i++ {
			if names[i] == names[i-1] && names[i] != "" {
				v.list.add(join(table.kind, names[i]), "is mentioned more than once")
			}
		}
	}
	if empty {
		v.list.add("", "the release note changes nothing")
	}
}

func (c LimitsChange) empty() bool {
	return c == LimitsChange{}
}

func (c LimitsChange) apply(limits Limits) Limits {
	if c.StandingShare != nil {
		limits.StandingShare = *c.StandingShare
	}
	if c.StandingSlots != nil {
		limits.StandingSlots = *c.StandingSlots
	}
	if c.RateShards != nil {
		limits.RateShards = *c.RateShards
	}
	return limits
}
