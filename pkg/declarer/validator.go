package declarer

import (
	"math"
	"net"
	"regexp"
	"strconv"
	"time"
)

// Defaults of Limits.
const (
	DefaultRateShards    = 4
	DefaultStandingShare = 0.2
	DefaultStandingSlots = 8
)

// Bounds of declared values.
const (
	// The system is specified for 350 entries and 250 workspaces; much larger
	// values are mistakes.
	maxRateShards    = 256
	maxStandingSlots = 4096
	// A deadline outside this range was written in the wrong unit.
	minDeadline = 10 * time.Millisecond
	maxDeadline = time.Hour
)

var (
	// Names are used in platform keys, URLs and metric labels.
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// DefaultLimits returns the limits that apply until an operator declares
// others.
func DefaultLimits() Limits {
	return Limits{
		StandingShare: DefaultStandingShare,
		StandingSlots: DefaultStandingSlots,
		RateShards:    DefaultRateShards,
	}
}

// ParseDeclaration parses a complete declaration and reports all its faults.
func ParseDeclaration(file string, data []byte) (d Declaration, faults []Fault) {
	d.Limits = DefaultLimits()
	list := faultList{file: file}
	faults, readable := DecodeTOML(file, data, &d)
	if !readable {
		return Declaration{}, faults
	}
	list.faults = faults
	list.addForNewKeys(Validate(file, d))
	return d.Sorted(), list.sorted()
}

// Validate returns all faults of a declaration. The faults name the given file.
func Validate(file string, d Declaration) []Fault {
	v := validator{list: faultList{file: file}}
	v.checkLimits(d.Limits)
	v.checkObjects(Objects{
		BackendServers: d.BackendServers,
		FailureDomains: d.FailureDomains,
		Keys:           d.Keys,
		Models:         d.Models,
		Routes:         d.Routes,
		Workspaces:     d.Workspaces,
	})
	v.checkDuplicates(d)
	v.checkReferences(d)
	return v.list.sorted()
}

// A validator collects the faults of declared objects.
type validator struct {
	list   faultList
	prefix string // Prefix of the reported keys; "added" or "changed" in a release note.
}

// add records a fault in one field of an object.
func (v *validator) add(kind string, i int, o object, field, format string, args ...any) {
	key := joinPath(elementPath(joinPath(v.prefix, kind), i, o.objectName()), field)
	v.list.add(key, format, args...)
}

// checkObjects validates each object by itself.
func (v *validator) checkObjects(objects Objects) {
	for _, table := range objects.tables() {
		for i, o := range table.objects() {
			if !namePattern.MatchString(o.objectName()) {
				v.add(table.kind, i, o, "name", "must be 1 to 63 letters, digits, dots, dashes or underscores and start with a letter or digit")
			}
		}
	}
	for i, s := range objects.BackendServers {
		v.checkBackendServer(i, s)
	}
	for i, d := range objects.FailureDomains {
		if !namePattern.MatchString(d.Region) {
			v.add(KindFailureDomain, i, d, "region", "must be a name")
		}
	}
	for i, k := range objects.Keys {
		if !digestPattern.MatchString(k.Digest) {
			v.add(KindKey, i, k, "digest", "must be 64 lower-case hexadecimal digits")
		}
	}
	for i, m := range objects.Models {
		v.checkNames(KindModel, i, m, "adapters", m.Adapters)
	}
	for i, r := range objects.Routes {
		v.checkRoute(i, r)
	}
	for i, w := range objects.Workspaces {
		v.checkWorkspace(i, w)
	}
}

func (v *validator) checkLimits(l Limits) {
	prefix := joinPath(v.prefix, KindLimits)
	if !(l.StandingShare >= 0 && l.StandingShare < 1) {
		v.list.add(joinPath(prefix, "standing-share"), "must be at least 0 and below 1")
	}
	if l.StandingSlots < 1 || l.StandingSlots > maxStandingSlots {
		v.list.add(joinPath(prefix, "standing-slots"), "must be from 1 to %d", maxStandingSlots)
	}
	if l.RateShards < 1 || l.RateShards > maxRateShards {
		v.list.add(joinPath(prefix, "rate-shards"), "must be from 1 to %d", maxRateShards)
	}
}

func (v *validator) checkBackendServer(i int, s BackendServer) {
	if !validAddress(s.Address) {
		v.add(KindBackendServer, i, s, "address", "must be a host and a port")
	}
	if s.Capacity < 1 {
		v.add(KindBackendServer, i, s, "capacity", "must be at least 1")
	}
	if s.BatchBound < 0 || s.BatchBound > max(s.Capacity, 0) {
		v.add(KindBackendServer, i, s, "batch-bound", "must be from 0 to the capacity")
	}
	v.checkNames(KindBackendServer, i, s, "models", s.Models)
	switch s.Kind {
	case Engine:
		v.checkEngine(i, s)
	case Service:
		v.checkService(i, s)
	default:
		v.add(KindBackendServer, i, s, "kind", "must be %q or %q", Engine, Service)
	}
}

func (v *validator) checkEngine(i int, s BackendServer) {
	if len(s.Models) == 0 {
		v.add(KindBackendServer, i, s, "models", "is missing for an engine")
	}
	if s.Service != "" {
		v.add(KindBackendServer, i, s, "service", "is for plain services only")
	}
}

func (v *validator) checkService(i int, s BackendServer) {
	if !namePattern.MatchString(s.Service) {
		v.add(KindBackendServer, i, s, "service", "must be a name")
	}
	if len(s.Models) > 0 {
		v.add(KindBackendServer, i, s, "models", "is for engines only")
	}
}

func (v *validator) checkRoute(i int, r Route) {
	switch {
	case r.Model != "" && r.Service != "":
		v.add(KindRoute, i, r, "service", "stands beside a model; a route leads to one of them")
	case r.Model == "" && r.Service == "":
		v.add(KindRoute, i, r, "model", "is missing, and so is a service")
	}
	if r.Batch && !r.Idempotent {
		v.add(KindRoute, i, r, "batch", "needs an idempotent route, since batch items are tried again")
	}
	deadline := r.Deadline.Std()
	if deadline != 0 && (deadline < minDeadline || deadline > maxDeadline) {
		v.add(KindRoute, i, r, "deadline", "must be from %s to %s", minDeadline, maxDeadline)
	}
}

func (v *validator) checkWorkspace(i int, w Workspace) {
	// Written this way, the condition also rejects NaN.
	if !(w.Rate > 0) || math.IsInf(w.Rate, 0) {
		v.add(KindWorkspace, i, w, "rate", "must be above zero and finite")
	}
	if w.Burst < 1 {
		v.add(KindWorkspace, i, w, "burst", "must be at least 1")
	}
}

// checkNames reports invalid and repeated names in a list field of an object.
func (v *validator) checkNames(kind string, i int, o object, field string, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		if !namePattern.MatchString(name) {
			v.add(kind, i, o, field, "holds %q, which is not a name", name)
		}
		if seen[name] {
			v.add(kind, i, o, field, "holds %q more than once", name)
		}
		seen[name] = true
	}
}

// validAddress reports whether an address has a host and a usable port.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
