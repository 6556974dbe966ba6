package tester

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"
)

// Settings is the settings file of an entry, as internal/configurer reads it.
type Settings struct {
	InstanceID         string   `toml:"instance-id"`
	FailureDomain      string   `toml:"failure-domain"`
	Region             string   `toml:"region"`
	HTTPAddress        string   `toml:"http-address"`
	LinkAddress        string   `toml:"link-address"`
	PlatformAddress    string   `toml:"platform-address"`
	DataFolder         string   `toml:"data-folder,omitempty"`
	KeyPepper          string   `toml:"key-pepper"`
	OperatorKeyDigests []string `toml:"operator-key-digests"`
	DrainDelay         string   `toml:"drain-delay"`

	TLS          TLSSettings           `toml:"tls"`
	Experimental *ExperimentalSettings `toml:"experimental,omitempty"`
	Seeds        []SeedSettings        `toml:"seed"`
}

// TLSSettings holds the file paths of an instance's certificate.
type TLSSettings struct {
	CA          string `toml:"ca-file"`
	Certificate string `toml:"certificate-file"`
	Key         string `toml:"key-file"`
}

// ExperimentalSettings selects baseline behaviour that exists only for
// comparison in measurements.
type ExperimentalSettings struct {
	Baseline string `toml:"baseline"`
}

// SeedSettings is an entry of the seed list. The address is that of its relay.
type SeedSettings struct {
	ID            string `toml:"id"`
	Address       string `toml:"address"`
	FailureDomain string `toml:"failure-domain"`
}

// entryArguments returns the arguments that start an entry with a settings file.
func entryArguments(settingsPath string) []string {
	return []string{"entry", "--settings", settingsPath}
}

func (s Settings) write(path string) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "write the settings of %s", s.InstanceID)
		}
	}()

	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(s); err != nil {
		return err
	}
	return os.WriteFile(path, text.Bytes(), 0o600)
}

// KeyDigest returns the digest that settings and declarations hold instead of
// a key.
func KeyDigest(pepper, key string) string {
	mac := hmac.New(sha256.New, []byte(pepper))
	_, _ = mac.Write([]byte(key)) // Never fails.
	return hex.EncodeToString(mac.Sum(nil))
}

// durationText formats a duration for the settings file.
func durationText(d time.Duration) string { return d.String() }
