package declarer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// A Fault is an error in a file that an operator wrote.
type Fault struct {
	File   string `json:"file"`
	Key    string `json:"key"` // Such as "workspace.ljepilo.rate"; empty for the whole file.
	Reason string `json:"reason"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	parts := []string{f.File, f.Key, f.Reason}
	parts = slices.DeleteFunc(parts, func(part string) bool { return part == "" })
	return strings.Join(parts, ": ")
}

// A FaultsError reports the faults of a rejected file.
type FaultsError struct {
	Faults []Fault // Never empty.
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "; ")
}

// SortFaults sorts faults by file, key and reason, and removes duplicates.
func SortFaults(faults []Fault) []Fault {
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
	return slices.Compact(faults)
}

// A faultList collects the faults of one file.
type faultList struct {
	file   string
	faults []Fault
}

func (l *faultList) add(key, format string, args ...any) {
	l.faults = append(l.faults, Fault{File: l.file, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// addForNewKeys adds faults, except for keys that already have one, because
// their values were not decoded.
func (l *faultList) addForNewKeys(faults []Fault) {
	known := map[string]bool{}
	for _, fault := range l.faults {
		known[fault.Key] = true
	}
	for _, fault := range faults {
		if !known[fault.Key] {
			l.faults = append(l.faults, fault)
		}
	}
}

func (l *faultList) sorted() []Fault {
	return SortFaults(l.faults)
}
