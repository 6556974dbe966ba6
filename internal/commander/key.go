package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/quetzalhitch/quetzalhitch/pkg/administrator"
)

// A KeyCmd grants and withdraws keys.
type KeyCmd struct {
	Grant    *KeyGrantCmd    `arg:"subcommand:grant" help:"create a key for a workspace and print it once"`
	Withdraw *KeyWithdrawCmd `arg:"subcommand:withdraw" help:"withdraw a key"`
}

// A KeyGrantCmd creates a key.
type KeyGrantCmd struct {
	OperatorFlags
	WaitFlag
	Name      string `arg:"positional,required" help:"name of the key"`
	Workspace string `arg:"positional,required" help:"workspace that the key acts for"`
}

func (cmd *KeyGrantCmd) run(stdout, stderr io.Writer) (err error) {
	client, err := cmd.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	answer, err := client.Grant(ctx, administrator.GrantRequest{Name: cmd.Name, Workspace: cmd.Workspace})
	if err != nil {
		return reportError(stdout, err)
	}
	// Only the key goes to the standard output, so that scripts can capture it.
	fmt.Fprintln(stdout, answer.Key)
	return cmd.waitForRollout(ctx, client, answer.ApplyAnswer, stderr, stderr)
}

// A KeyWithdrawCmd withdraws a key.
type KeyWithdrawCmd struct {
	OperatorFlags
	WaitFlag
	Name string `arg:"positional,required" help:"name of the key"`
}

func (cmd *KeyWithdrawCmd) run(stdout, stderr io.Writer) (err error) {
	client, err := cmd.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	answer, err := client.Withdraw(ctx, cmd.Name)
	if err != nil {
		return reportError(stdout, err)
	}
	fmt.Fprintf(stdout, "key %s withdrawn by revision %d\n", cmd.Name, answer.Revision)
	return cmd.waitForRollout(ctx, client, answer, stdout, stderr)
}
