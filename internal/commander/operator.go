package commander

import (
	"errors"
	"io"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/pkg/administrator"
)

// OperatorFlags set the entry and the operator key of a command. The key comes
// from the environment or a file, since other users can see arguments.
type OperatorFlags struct {
	Entry           string `arg:"--entry,env:QUETZALHITCH_ENTRY" default:"127.0.0.1:8080" placeholder:"ADDRESS" help:"operator address of any entry"`
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

// reportError prints the faults of a refusal and returns exitInDoubt if the
// change may have taken effect.
func reportError(stdout io.Writer, err error) error {
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
