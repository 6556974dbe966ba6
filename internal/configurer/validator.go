package configurer

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Limits of settings.
const (
	minPepperBytes = 16
	// minMemoryMB leaves a budget for one request body of 4 MiB.
	minMemoryMB = 64
	// A duration outside these limits was most likely given in the wrong unit.
	minDeadline   = 10 * time.Millisecond
	maxDeadline   = time.Hour
	maxDrainDelay = 10 * time.Minute
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	logFormats    = []string{"json", "text"}
	logLevels     = []string{"debug", "error", "info", "warning"}
)

// Validate returns all faults of settings. Each fault names file.
func Validate(file string, s Settings) []declarer.Fault {
	v := &validator{file: file}
	v.name("instance-id", s.InstanceID)
	v.name("failure-domain", s.FailureDomain)
	v.name("region", s.Region)
	v.address("http-address", s.HTTPAddress, true)
	v.address("link-address", s.LinkAddress, true)
	if s.OperatorAddress != "" {
		v.address("operator-address", s.OperatorAddress, true)
	}
	v.address("platform-address", s.PlatformAddress, false)
	v.keySettings(s)
	v.duration("drain-delay", s.DrainDelay, 0, maxDrainDelay)
	if s.MemoryMB < minMemoryMB {
		v.add("memory-mb", "must be at least %d", minMemoryMB)
	}
	if s.MaxFDs < 0 {
		v.add("max-fds", "must not be negative")
	}
	v.seeds(s.Seeds)
	v.required("tls.certificate-file", s.TLS.CertificateFile)
	v.required("tls.key-file", s.TLS.KeyFile)
	v.required("tls.ca-file", s.TLS.CAFile)
	v.choice("log.level", s.Log.Level, logLevels)
	v.choice("log.format", s.Log.Format, logFormats)
	v.deadlines(s.Deadlines)
	v.baseline(s.Experimental.Baseline)
	return declarer.SortFaults(v.faults)
}

// A validator collects the faults of settings.
type validator struct {
	file   string
	faults []declarer.Fault
}

func (v *validator) add(key, format string, args ...any) {
	v.faults = append(v.faults, declarer.Fault{File: v.file, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (v *validator) required(key, value string) {
	if value == "" {
		v.add(key, "is missing")
	}
}

func (v *validator) name(key, value string) {
	switch {
	case value == "":
		v.add(key, "is missing")
	case !namePattern.MatchString(value):
		v.add(key, "must be 1 to 63 letters, digits, dots, dashes or underscores and start with a letter or digit")
	}
}

// address checks an IP address and port. Only an address to listen on may have
// port 0.
func (v *validator) address(key, value string, listen bool) {
	parsed, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
		v.add(key, "is missing")
	case err != nil:
		v.add(key, `must be an IP address and a port, such as "10.0.0.1:8080"`)
	case parsed.Port() == 0 && !listen:
		v.add(key, "must have a port above zero")
	}
}

func (v *validator) choice(key, value string, choices []string) {
	if !slices.Contains(choices, value) {
		v.add(key, "must be one of %q", choices)
	}
}

func (v *validator) baseline(b Baseline) {
	if b != "" && !slices.Contains(Baselines(), b) {
		v.add("experimental.baseline", "must be one of %q", Baselines())
	}
}

func (v *validator) duration(key string, value declarer.Duration, minimum, maximum time.Duration) {
	if value.Std() < minimum || value.Std() > maximum {
		v.add(key, "must be from %s to %s", minimum, maximum)
	}
}

func (v *validator) keySettings(s Settings) {
	if len(s.KeyPepper) < minPepperBytes {
		v.add("key-pepper", "must have at least %d bytes", minPepperBytes)
	}
	if len(s.OperatorKeyDigests) == 0 {
		v.add("operator-key-digests", "is missing")
	}
	for i, digest := range s.OperatorKeyDigests {
		if !digestPattern.MatchString(digest) {
			v.add(fmt.Sprintf("operator-key-digests[%d]", i+1), "must be 64 lower-case hexadecimal digits")
		}
	}
}

func (v *validator) seeds(seeds []Seed) {
	ids := map[string]bool{}
	addresses := map[string]bool{}
	for i, seed := range seeds {
		key := "seed." + seed.ID
		if seed.ID == "" {
			key = fmt.Sprintf("seed[%d]", i+1)
		}
		v.name(key+".id", seed.ID)
		v.name(key+".failure-domain", seed.FailureDomain)
		v.address(key+".address", seed.Address, false)
		if ids[seed.ID] {
			v.add(key+".id", "is listed more than once")
		}
		if addresses[seed.Address] {
			v.add(key+".address", "is listed more than once")
		}
		ids[seed.ID] = true
		addresses[seed.Address] = true
	}
}

func (v *validator) deadlines(d Deadlines) {
	for _, deadline := range []struct {
		key   string
		value declarer.Duration
	}{
		{key: "connect", value: d.Connect},
		{key: "first-byte", value: d.FirstByte},
		{key: "between-bytes", value: d.BetweenBytes},
		{key: "link-call", value: d.LinkCall},
		{key: "platform-call", value: d.PlatformCall},
		{key: "platform-watch", value: d.PlatformWatch},
		{key: "drain", value: d.Drain},
	} {
		v.duration("deadlines."+deadline.key, deadline.value, minDeadline, maxDeadline)
	}
}
