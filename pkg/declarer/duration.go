package declarer

import (
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	if _, err := strconv.ParseFloat(string(text), 64); err == nil {
		return merry.Errorf(`%q has no unit, such as in "30s"`, text)
	}
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return merry.Errorf(`%q is not a duration such as "30s"`, text)
	}
	*d = Duration(parsed)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the duration with its units.
func (d Duration) String() string {
	return time.Duration(d).String()
}
