package main

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/urfave/cli/v3"
)

// arity checks the arguments that a command was given.
type arity func(cmd *cli.Command) error

// noArguments is for commands that want none.
func noArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("%s wants no arguments, and %q was given; see `%s --help`", cmd.FullName(), cmd.Args().First(), cmd.FullName())
	}
	return nil
}

// exactly is for commands that want so many arguments, which what describes.
func exactly(count int, what string) arity {
	return func(cmd *cli.Command) error {
		if given := cmd.Args().Len(); given != count {
			return fmt.Errorf("%s wants %s, and %d arguments were given; see `%s --help`", cmd.FullName(), what, given, cmd.FullName())
		}
		return nil
	}
}

// atMost is for commands that want so many arguments or fewer.
func atMost(count int, what string) arity {
	return func(cmd *cli.Command) error {
		if given := cmd.Args().Len(); given > count {
			return fmt.Errorf("%s wants %s, and %d arguments were given; see `%s --help`", cmd.FullName(), what, given, cmd.FullName())
		}
		return nil
	}
}

// action is what a command does: its arguments are checked, the configuration is read, and then it runs.
func (a *app) action(check arity, do func(ctx context.Context, cmd *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if err := check(cmd); err != nil {
			return err
		}
		if err := a.prepare(cmd); err != nil {
			return err
		}
		return do(ctx, cmd)
	}
}

// group is the action of a command that only holds others: it shows its help, and turns down what is none of them.
func group(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("%s: %q is no command of it; see `%s --help`", cmd.FullName(), cmd.Args().First(), cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// described joins a description and its examples.
func described(description string, examples ...string) string {
	var text strings.Builder
	text.WriteString(description)
	if len(examples) > 0 {
		if description != "" {
			text.WriteString("\n\n")
		}
		text.WriteString("Examples:")
	}
	for _, example := range examples {
		text.WriteString("\n  " + example)
	}
	return text.String()
}

// settle gives a command and those below it what all commands of the program have.
func settle(cmd *cli.Command) {
	cmd.HideHelpCommand = len(cmd.Commands) == 0 // its arguments are its own
	cmd.OnUsageError = usageError
	for _, below := range cmd.Commands {
		settle(below)
	}
}

var (
	unknownFlag = regexp.MustCompile(`^flag provided but not defined: -+`)
	wrongValue  = regexp.MustCompile(`^invalid value (".*") for flag -([^:]+): `)
)

// usageError names flags as they are written, and says where to look.
func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	text := unknownFlag.ReplaceAllString(err.Error(), "unknown flag: --")
	text = wrongValue.ReplaceAllString(text, `invalid argument $1 for "--$2" flag: `)
	return errors.New(text + "; see `" + cmd.FullName() + " --help`")
}
