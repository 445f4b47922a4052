// Package cli is the command line: the sub-commands, their flags and exit codes. What they do is in other packages.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"pewterwheel/internal/service"
	"pewterwheel/internal/sidecar"
)

// Exit codes.
const (
	Sound      = 0
	Found      = 1 // findings, or the command failed
	Unreadable = 2 // a file could not be read, or the command's words are off
)

// coded is an error with the exit code that it asks for; one without text has been told already.
type coded struct {
	code int
	err  error
}

func (c *coded) Error() string {
	if c.err == nil {
		return ""
	}
	return c.err.Error()
}

// Execute carries out a command line and returns the exit code.
func Execute(args []string, out, errs io.Writer) int {
	root := &cobra.Command{Use: "pewterwheel", Short: "A session controller, beside applications or on the platform",
		Long: "Without a command, pewterwheel is the platform's session controller and reads the configuration that\n" +
			"BALANCER_CONFIG names. As a sidecar it reads the file that \"config write\" made.",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return service.Main() }}
	root.AddCommand(configCommand(), sidecarCommand(), demoCommand(), storeCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var c *coded
	switch {
	case err == nil:
		return Sound
	case errors.As(err, &c):
		if c.err != nil {
			fmt.Fprintln(errs, "pewterwheel:", c.err)
		}
		return c.code
	}
	fmt.Fprintln(errs, "pewterwheel:", err)
	return Unreadable // cobra's: an unknown command or flag, a missing argument
}

func sidecarCommand() *cobra.Command {
	var o sidecar.Options
	c := &cobra.Command{Use: "sidecar --config FILE", Short: "Check a sidecar's file, then serve by it", Args: cobra.NoArgs,
		Long: "Checks the file with what \"config check\" uses and refuses to start on findings, with the same messages and\n" +
			"exit code 1; then serves. SIGHUP reads the file anew, SIGTERM ends when all that was taken is answered.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Member != "" && sidecar.Join == nil {
				return &coded{Found, become(memberProgram)}
			}
			err := sidecar.Serve(o, cmd.ErrOrStderr())
			var found *sidecar.FindingsError
			var unread *sidecar.UnreadableError
			switch {
			case errors.As(err, &found):
				fmt.Fprintln(cmd.ErrOrStderr(), found)
				return &coded{Found, nil}
			case errors.As(err, &unread):
				return &coded{Unreadable, err}
			case err != nil:
				return &coded{Found, err}
			}
			return nil
		}}
	c.Flags().StringVar(&o.Path, "config", "", "the file that \"config write\" made")
	c.Flags().StringVar(&o.Format, "log-format", "", "text or json, in place of what the file says")
	c.Flags().StringVar(&o.Level, "log-level", "", "debug, info, warn or error, in place of what the file says")
	c.Flags().StringVar(&o.Member, "member", os.Getenv(sidecar.MemberVariable), "which [member] of the file's fleet this process is; else what "+sidecar.MemberVariable+" says")
	_ = c.MarkFlagRequired("config")
	return c
}

// memberProgram is the program for sidecars that speak with each other. It lies beside this one, and takes the same words.
const memberProgram = "pewterwheel-member"

// become turns this process into one of another program beside its own, with the same words and environment. It returns
// only if that cannot be.
func become(name string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), name)
	if err := syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ()); err != nil {
		return fmt.Errorf("%w (%s: %w)", sidecar.ErrProgram, path, err)
	}
	return nil
}

// Main carries out the program's own command line.
func Main() {
	if len(os.Args) == 1 { // the platform's way: nothing is built up for commands
		if err := service.Main(); err != nil {
			fmt.Fprintln(os.Stderr, "pewterwheel:", err)
			os.Exit(Found)
		}
		return
	}
	os.Exit(Execute(os.Args[1:], os.Stdout, os.Stderr))
}
