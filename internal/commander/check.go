package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// The kinds of files that check supports.
const (
	kindDeclaration = "declaration"
	kindReleaseNote = "release-note"
	kindSettings    = "settings"
)

// A CheckCmd reports the faults of files.
type CheckCmd struct {
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"settings, declarations and release notes"`
	As      string   `arg:"--as" placeholder:"KIND" help:"declaration, release-note or settings [default: by the keys of each file]"`
	Against string   `arg:"--against" placeholder:"DECLARATION" help:"also merge release notes into this declaration"`
}

func (cmd *CheckCmd) run(stdout, _ io.Writer) (err error) {
	base, faults, err := cmd.readBase()
	if err != nil {
		return err
	}
	for _, file := range cmd.Files {
		found, err := cmd.check(file, base)
		if err != nil {
			return err
		}
		faults = append(faults, found...)
	}
	return printFaults(stdout, declarer.SortFaults(faults))
}

// readBase reads the declaration that release notes are merged into.
func (cmd *CheckCmd) readBase() (base *declarer.Declaration, faults []declarer.Fault, err error) {
	if cmd.Against == "" {
		return nil, nil, nil
	}
	data, err := os.ReadFile(cmd.Against)
	if err != nil {
		return nil, nil, merry.Wrap(err)
	}
	d, faults := declarer.ParseDeclaration(cmd.Against, data)
	return &d, faults, nil
}

func (cmd *CheckCmd) check(file string, base *declarer.Declaration) (faults []declarer.Fault, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	kind := cmd.As
	if kind == "" {
		kind = kindOf(data)
	}
	switch kind {
	case kindDeclaration:
		_, faults = declarer.ParseDeclaration(file, data)
	case kindReleaseNote:
		faults = checkReleaseNote(file, data, base)
	case kindSettings:
		_, faults = configurer.Parse(file, data)
	default:
		return nil, merry.Errorf("unknown file kind %q", kind)
	}
	return faults, nil
}

func checkReleaseNote(file string, data []byte, base *declarer.Declaration) []declarer.Fault {
	note, faults := declarer.ParseReleaseNote(file, data)
	if base == nil || len(faults) > 0 {
		return faults
	}
	_, faults = declarer.Merge(*base, note)
	return faults
}

// kindOf detects the kind of a file by its keys. A file that is not valid TOML
// gets the same faults with any kind.
func kindOf(data []byte) string {
	var root map[string]any
	_, _ = toml.Decode(string(data), &root)
	for _, key := range []string{"added", "changed", "title", "withdrawn"} {
		if _, ok := root[key]; ok {
			return kindReleaseNote
		}
	}
	for _, key := range []string{"http-address", "instance-id", "key-pepper", "link-address", "platform-address", "tls"} {
		if _, ok := root[key]; ok {
			return kindSettings
		}
	}
	return kindDeclaration
}

// printFaults prints one fault per line and returns an error if there are any.
func printFaults(w io.Writer, faults []declarer.Fault) error {
	for _, fault := range faults {
		fmt.Fprintln(w, fault)
	}
	switch n := len(faults); n {
	case 0:
		return nil
	case 1:
		return merry.New("1 fault")
	default:
		return merry.Errorf("%d faults", n)
	}
}
