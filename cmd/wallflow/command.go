package main

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/urfave/cli/v3"
)

// argumentCheck checks the positional arguments of a command.
type argumentCheck func(cmd *cli.Command) error

// noArguments is the check of a command without positional arguments.
func noArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("%s takes no arguments, but got %q; see `%s --help`", cmd.FullName(), cmd.Args().First(), cmd.FullName())
	}
	return nil
}

// exactArguments returns the check of a command with exactly count arguments, which the text expected describes.
func exactArguments(count int, expected string) argumentCheck {
	return func(cmd *cli.Command) error {
		if given := cmd.Args().Len(); given != count {
			return fmt.Errorf("%s takes %s, but got %d arguments; see `%s --help`", cmd.FullName(), expected, given, cmd.FullName())
		}
		return nil
	}
}

// maxArguments returns the check of a command with at most count arguments.
func maxArguments(count int, expected string) argumentCheck {
	return func(cmd *cli.Command) error {
		if given := cmd.Args().Len(); given > count {
			return fmt.Errorf("%s takes %s, but got %d arguments; see `%s --help`", cmd.FullName(), expected, given, cmd.FullName())
		}
		return nil
	}
}

// action returns the action of a command: it checks the arguments, reads the configuration file and calls run.
func (a *app) action(check argumentCheck, run func(ctx context.Context, cmd *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if err := check(cmd); err != nil {
			return err
		}
		if err := a.prepare(cmd); err != nil {
			return err
		}
		return run(ctx, cmd)
	}
}

// showSubcommands is the action of a command that only groups subcommands. It shows the help, or refuses an unknown subcommand.
func showSubcommands(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("%s: unknown command %q; see `%s --help`", cmd.FullName(), cmd.Args().First(), cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// withExamples appends the examples to a description.
func withExamples(description string, examples ...string) string {
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

// configureCommand sets the common properties of a command and of all its subcommands.
func configureCommand(cmd *cli.Command) {
	cmd.HideHelpCommand = len(cmd.Commands) == 0 // "help" would be read as a command instead of an argument
	cmd.OnUsageError = rewriteUsageError
	for _, subcommand := range cmd.Commands {
		configureCommand(subcommand)
	}
}

var (
	unknownFlag = regexp.MustCompile(`^flag provided but not defined: -+`)
	wrongValue  = regexp.MustCompile(`^invalid value (".*") for flag -([^:]+): `)
)

// rewriteUsageError writes flags with two dashes in the library's error messages, and adds a pointer to the help.
func rewriteUsageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	text := unknownFlag.ReplaceAllString(err.Error(), "unknown flag: --")
	text = wrongValue.ReplaceAllString(text, `invalid argument $1 for "--$2" flag: `)
	return errors.New(text + "; see `" + cmd.FullName() + " --help`")
}
