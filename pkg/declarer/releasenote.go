package declarer

import (
	"bytes"
	"slices"
)

// A ReleaseNote lists the objects that an operator adds, changes and withdraws.
// A changed object replaces the object with its name completely.
type ReleaseNote struct {
	File      string    `toml:"-"` // Name of the file, which the faults report.
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

// Changed holds the new contents of existing objects and the new values of
// limits.
type Changed struct {
	Objects
	Limits LimitsChange `toml:"limits"`
}

// A LimitsChange sets some of the limits; nil leaves a limit unchanged.
type LimitsChange struct {
	StandingShare *float64 `toml:"standing-share"`
	StandingSlots *int     `toml:"standing-slots"`
	RateShards    *int     `toml:"rate-shards"`
}

// Withdrawn lists the names of objects to remove.
type Withdrawn struct {
	BackendServers []string `toml:"backend-servers"`
	FailureDomains []string `toml:"failure-domains"`
	Keys           []string `toml:"keys"`
	Models         []string `toml:"models"`
	Routes         []string `toml:"routes"`
	Workspaces     []string `toml:"workspaces"`
}

// maxNestings is the maximum number of characters of a release note that may open a level
// of nesting, for each of which the TOML library needs some 600 bytes of stack.
const maxNestings = 100_000

func countNestings(data []byte) (n int) {
	for _, c := range []string{"[", "{", "."} {
		n += bytes.Count(data, []byte(c))
	}
	return n
}

// ParseReleaseNote parses a release note and reports the faults that can be
// found without the declaration that it changes.
func ParseReleaseNote(file string, data []byte) (note ReleaseNote, faults []Fault) {
	list := faultList{file: file}
	if countNestings(data) > maxNestings {
		list.add("", "more than %d brackets, braces and dots", maxNestings)
		return ReleaseNote{}, list.sorted()
	}
	faults, readable := DecodeTOML(file, data, &note)
	if !readable {
		return ReleaseNote{}, faults
	}
	note.File = file
	list.faults = faults
	list.addForNewKeys(note.faults())
	return note, list.sorted()
}

// Mentions reports whether the note adds, changes or withdraws an object.
func (n ReleaseNote) Mentions(kind, name string) bool {
	if kind == KindLimits {
		return !n.Changed.Limits.empty()
	}
	return slices.Contains(n.mentionedNames(kind), name)
}

// mentionedNames returns the names of a kind that the note mentions, including
// duplicates.
func (n *ReleaseNote) mentionedNames(kind string) (names []string) {
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

// faults validates the note by itself.
func (n ReleaseNote) faults() []Fault {
	v := validator{list: faultList{file: n.File}}
	if n.Title == "" {
		v.list.add("title", "is missing")
	}
	v.checkMentions(n)
	v.prefix = "added"
	v.checkObjects(n.Added)
	v.prefix = "changed"
	v.checkObjects(n.Changed.Objects)
	v.checkLimits(n.Changed.Limits.apply(DefaultLimits()))
	return v.list.sorted()
}

// checkMentions reports objects that the note mentions more than once, and a
// note that changes nothing.
func (v *validator) checkMentions(n ReleaseNote) {
	empty := n.Changed.Limits.empty()
	for _, table := range n.Added.tables() {
		names := n.mentionedNames(table.kind)
		if len(names) == 0 {
			continue
		}
		empty = false
		slices.Sort(names)
		for i := 1; i < len(names); i++ {
			if names[i] == names[i-1] && names[i] != "" {
				v.list.add(joinPath(table.kind, names[i]), "is mentioned more than once")
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
