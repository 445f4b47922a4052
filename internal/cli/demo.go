package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pewterwheel/examples"
	"pewterwheel/internal/demo"
)

func demoCommand() *cobra.Command {
	var o demo.Options
	c := &cobra.Command{Use: "demo", Short: "Show sidecars at work on this machine, with stand-in offices", Args: cobra.NoArgs,
		Long: "Writes and checks the configuration of two example applications, starts stand-in offices and both sidecars on\n" +
			"loopback addresses, passes calls while one office drains and one is replaced, and prints what happened. Exit\n" +
			"code 0 only if each call had exactly one final answer and no rule was broken.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return &coded{Found, err}
			}
			o.Program, o.Put, o.Out = self, Put, cmd.OutOrStdout()
			if o.Files, err = demo.Read(examples.Sidecar, "sidecar"); err != nil {
				return &coded{Found, err}
			}
			if err := demo.Run(o); err != nil {
				return &coded{Found, fmt.Errorf("demo: %w", err)}
			}
			return nil
		}}
	c.Flags().IntVar(&o.Calls, "calls", 2000, "calls to pass")
	c.Flags().StringVar(&o.Dir, "out", "", "the folder for configuration and logs; empty: one of its own, removed at the end")
	return c
}
