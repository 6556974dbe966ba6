package archiver

import (
	"path"
	"regexp"
	"strings"

	"github.com/ansel1/merry/v2"
)

const (
	maxNameBytes    = 512
	maxNameSegments = 8
)

// segmentPattern allows no separator and no leading dot, so that a name can
// neither escape its folder nor collide with a temporary file.
var segmentPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// CheckName returns ErrBadName unless the name consists of a valid group and
// object name.
func CheckName(name string) error {
	if len(name) > maxNameBytes {
		return merry.Prependf(ErrBadName, "%d bytes", len(name))
	}
	segments := strings.Split(name, "/")
	if len(segments) < 2 || len(segments) > maxNameSegments {
		return merry.Prependf(ErrBadName, "%d segments", len(segments))
	}
	for _, segment := range segments {
		if !segmentPattern.MatchString(segment) {
			return merry.Prependf(ErrBadName, "segment %q", segment)
		}
	}
	return nil
}

// GroupOf returns the group of an object.
func GroupOf(name string) string {
	return path.Dir(name)
}

func checkObject(name string, data []byte) error {
	if len(data) > MaxObjectBytes {
		return merry.Prependf(ErrTooLarge, "%d bytes", len(data))
	}
	return CheckName(name)
}
