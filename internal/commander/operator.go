package commander

import (
	"errors"
	"io"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/administrator"
)

// OperatorFlags lead a command to an entry. The operator key is taken from the
// environment or a file, since arguments can be seen by other users.
type OperatorFlags struct {
	Entry           string `arg:"--entry,env:QUETZALHITCH_ENTRY" default:"127.0.0.1:8080" placeholder:"ADDRESS" help:"operators' address of any entry"`
	OperatorKeyFile string `arg:"--operator-key-file,env:QUETZALHITCH_OPERATOR_KEY_FILE" placeholder:"FILE" help:"file with the operator key"`
	OperatorKey     string `arg:"--,env:QUETZALHITCH_OPERATOR_KEY" help:"operator key"`
}

func (f OperatorFlags) client() (client *administrator.Client, err error) {
	key := f.OperatorKey
	if f.OperatorKeyFile != "" {
		data, err := os.ReadFile(f.OperatorKeyFile)
		if err != nil {
			return nil, merry.Prepend(err, "operator key")
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, merry.New("an operator key is needed in QUETZALHITCH_OPERATOR_KEY or in --operator-key-file")
	}
	return administrator.NewClient(f.Entry, key), nil
}

// explain prints the faults of a refusal and marks a change in doubt.
func explain(stdout io.Writer, err error) error {
	var refused *administrator.RefusedError
	switch {
	case errors.Is(err, administrator.ErrAnswerLost):
		err = merry.Append(err, "see quetzalhitch status before you repeat it")
		return &exitError{code: exitInDoubt, err: err}
	case !errors.As(err, &refused):
		return err
	case refused.InDoubt():
		err = merry.Appendf(err, "see quetzalhitch status for revision %d, apply %s, before you repeat it", refused.Answer.Revision, refused.Answer.ApplyID)
		return &exitError{code: exitInDoubt, err: err}
	case len(refused.Answer.Faults) > 0:
		return printFaults(stdout, refused.Answer.Faults)
	}
	return err
}
