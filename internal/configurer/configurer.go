// Package configurer reads the settings file of an entry process.
package configurer

import (
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// Settings are the local settings of an entry process, which it needs before it
// connects to the platform or a peer.
type Settings struct {
	InstanceID         string            `toml:"instance-id"`          // Required; unique in the deployment and stable across restarts.
	FailureDomain      string            `toml:"failure-domain"`       // Required.
	Region             string            `toml:"region"`               // Required.
	HTTPAddress        string            `toml:"http-address"`         // Required; IP address and port for callers.
	LinkAddress        string            `toml:"link-address"`         // Required; IP address and UDP port for other entries.
	OperatorAddress    string            `toml:"operator-address"`     // Optional; empty serves operators on HTTPAddress.
	PlatformAddress    string            `toml:"platform-address"`     // Required; IP address and port.
	DataFolder         string            `toml:"data-folder"`          // Optional; empty means that the instance has no disk.
	KeyPepper          Secret            `toml:"key-pepper"`           // Required; at least 16 bytes, the same in the whole deployment.
	OperatorKeyDigests []string          `toml:"operator-key-digests"` // Required; hexadecimal HMAC-SHA-256 under the pepper.
	DrainDelay         declarer.Duration `toml:"drain-delay"`          // Time for the load balancer to notice that the instance drains; 5s by default.
	MemoryMB           int               `toml:"memory-mb"`            // Memory of the machine, which bounds what requests hold; 512 by default.
	MaxFDs             int               `toml:"max-fds"`              // Descriptors of the process, which bound its callers' connections; those of the operating system by default.
	Seeds              []Seed            `toml:"seed"`                 // Entries to connect to before the platform's list is available.
	TLS                TLS               `toml:"tls"`
	Log                Log               `toml:"log"`
	Deadlines          Deadlines         `toml:"deadlines"`
	Experimental       Experimental      `toml:"experimental"`
}

// A Seed is an entry that is known at startup. The list may include the instance
// itself, so that all instances can share it.
type Seed struct {
	ID            string `toml:"id"`
	Address       string `toml:"address"` // IP address and UDP port of its links.
	FailureDomain string `toml:"failure-domain"`
}

// TLS lists the files for TLS on links between entries, relative to the folder
// of the settings file.
type TLS struct {
	CertificateFile string `toml:"certificate-file"` // Required; PEM.
	KeyFile         string `toml:"key-file"`         // Required; PEM.
	CAFile          string `toml:"ca-file"`          // Required; PEM of the authority that signs all entries' certificates.
}

// Log sets the level and format of the log.
type Log struct {
	Level  string `toml:"level"`  // One of "debug", "error", "info" and "warning"; "info" by default.
	Format string `toml:"format"` // One of "json" and "text"; "text" by default.
}

// Deadlines bound each wait for another process.
type Deadlines struct {
	Connect       declarer.Duration `toml:"connect"`        // A new connection to a backend server; 1s by default.
	FirstByte     declarer.Duration `toml:"first-byte"`     // The first byte of an answer on a route without a deadline; 30s by default.
	BetweenBytes  declarer.Duration `toml:"between-bytes"`  // The gap between two parts of a stream on a route without a deadline; 10s by default.
	LinkCall      declarer.Duration `toml:"link-call"`      // An exchange with another entry; 1s by default.
	PlatformCall  declarer.Duration `toml:"platform-call"`  // A call to the platform; 2s by default.
	PlatformWatch declarer.Duration `toml:"platform-watch"` // One round of a long-polling watch; 5s by default, which bounds how long a dead connection hides a new configuration.
	Drain         declarer.Duration `toml:"drain"`          // Streams that are open when the instance drains; 5m by default.
}

// A Secret is a string that is redacted when it is printed or encoded as text.
type Secret string

// redactedSecret replaces a secret in logs.
const redactedSecret = "(hidden)"

// String implements fmt.Stringer.
func (Secret) String() string {
	return redactedSecret
}

// GoString implements fmt.GoStringer.
func (Secret) GoString() string {
	return redactedSecret
}

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) {
	return []byte(redactedSecret), nil
}

// Defaults returns settings with the documented defaults.
func Defaults() Settings {
	return Settings{
		DrainDelay: declarer.Duration(5 * time.Second),
		MemoryMB:   512,
		Log:        Log{Level: "info", Format: "text"},
		Deadlines: Deadlines{
			Connect:       declarer.Duration(time.Second),
			FirstByte:     declarer.Duration(30 * time.Second),
			BetweenBytes:  declarer.Duration(10 * time.Second),
			LinkCall:      declarer.Duration(time.Second),
			PlatformCall:  declarer.Duration(2 * time.Second),
			PlatformWatch: declarer.Duration(5 * time.Second),
			Drain:         declarer.Duration(5 * time.Minute),
		},
	}
}

// Load reads a settings file. Invalid settings are returned as one
// declarer.FaultsError with all faults.
func Load(file string) (s Settings, err error) {
	defer func() { err = merry.Prepend(err, "settings") }()
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, merry.Wrap(err)
	}
	s, faults := Parse(file, data)
	if len(faults) > 0 {
		return Settings{}, &declarer.FaultsError{Faults: faults}
	}
	return s, nil
}

// Parse decodes and validates settings and returns all faults. Relative paths
// are resolved against the folder of file.
func Parse(file string, data []byte) (s Settings, faults []declarer.Fault) {
	s = Defaults()
	faults, decoded := declarer.DecodeTOML(file, data, &s)
	if !decoded {
		return Settings{}, faults
	}
	faults = mergeFaults(faults, Validate(file, s))
	s.resolvePaths(filepath.Dir(file))
	return s, faults
}

// Peers returns the seeds other than the instance itself.
func (s Settings) Peers() (peers []Seed) {
	for _, seed := range s.Seeds {
		if seed.ID != s.InstanceID {
			peers = append(peers, seed)
		}
	}
	return peers
}

// resolvePaths makes paths independent of the working folder.
func (s *Settings) resolvePaths(folder string) {
	for _, path := range []*string{&s.DataFolder, &s.TLS.CertificateFile, &s.TLS.KeyFile, &s.TLS.CAFile} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}

// mergeFaults adds the faults of values to those of decoding. A key that could
// not be decoded gets only its decoding fault.
func mergeFaults(decodeFaults, valueFaults []declarer.Fault) []declarer.Fault {
	undecoded := map[string]bool{}
	for _, fault := range decodeFaults {
		undecoded[fault.Key] = true
	}
	for _, fault := range valueFaults {
		if !undecoded[fault.Key] {
			decodeFaults = append(decodeFaults, fault)
		}
	}
	return declarer.SortFaults(decodeFaults)
}
