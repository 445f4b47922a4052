package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"pewterwheel/internal/recovery"
	"pewterwheel/internal/store"
)

func storeCommand() *cobra.Command {
	c := &cobra.Command{Use: "store", Short: "Look at, check, compact and repair a durable store", Args: cobra.NoArgs,
		Long: "Works on a store that no program has open; it is locked meanwhile. See docs/STORE.md.",
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	look := func(use, short string, run func(cmd *cobra.Command, r *store.Report) error) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			r, err := inspect(args[0])
			if err != nil {
				return err
			}
			return run(cmd, r)
		}}
	}
	c.AddCommand(look("inspect DIR", "List the files, what is in them and what is damaged", func(cmd *cobra.Command, r *store.Report) error {
		t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "file\tform\tbytes\tframes\tnumbers\t")
		for _, f := range r.Files {
			note := ""
			if f.Aside {
				note = "not part of the store"
			} else if f.Damaged {
				note = "damaged"
			}
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d-%d\t%s\n", f.Name, f.Form, f.Bytes, f.Frames, f.First, f.Last, note)
		}
		fmt.Fprintf(t, "\n%d records, %d bytes, last frame %d\n", r.Keys, r.Bytes, r.Last)
		_ = t.Flush()
		tellDamage(cmd, r)
		return nil
	}), look("verify DIR", "Check every file; exit code 1 if anything was lost", func(cmd *cobra.Command, r *store.Report) error {
		tellDamage(cmd, r)
		if !r.Sound() {
			return &coded{Found, nil}
		}
		fmt.Fprintf(cmd.OutOrStdout(), "sound: %d records\n", r.Keys)
		return nil
	}))
	var asJSON bool
	dump := look("dump DIR", "Print what an open would recover", func(cmd *cobra.Command, r *store.Report) error {
		out := json.NewEncoder(cmd.OutOrStdout())
		for _, key := range slices.Sorted(maps.Keys(r.State)) {
			v, err := recovery.DecodeRecord(key, r.State[key])
			if err != nil {
				v = map[string]any{"bytes": len(r.State[key]), "error": err.Error()}
			}
			if !asJSON {
				fmt.Fprintf(cmd.OutOrStdout(), "%s %+v\n", key, v)
			} else if err := out.Encode(map[string]any{"key": key, "value": v}); err != nil {
				return &coded{Found, err}
			}
		}
		return nil
	})
	dump.Flags().BoolVar(&asJSON, "json", false, "one JSON object a line")
	compact := &cobra.Command{Use: "compact DIR", Short: "Write the store anew as one checkpoint", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := inspect(args[0]); err != nil {
				return err
			}
			if err := store.Compact(store.Dir(args[0]), store.Options{Later: recovery.MergeAfterDamage}); err != nil {
				return &coded{Found, err}
			}
			return nil
		}}
	var dry bool
	repair := &cobra.Command{Use: "repair [--dry-run] DIR", Short: "Write what can be recovered anew, and set the rest aside",
		Long: "Nothing is deleted: every file that the store was made of is kept under a name that begins with aside-.",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := inspect(args[0]); err != nil {
				return err
			}
			aside, r, err := store.Repair(store.Dir(args[0]), recovery.MergeAfterDamage, dry)
			if err != nil {
				return &coded{Found, err}
			}
			tellDamage(cmd, r)
			for _, name := range aside {
				fmt.Fprintf(cmd.OutOrStdout(), "set aside: %s\n", name)
			}
			if len(aside) == 0 {
				fmt.Fprintln(cmd.OutOrStdout(), "nothing is damaged")
			}
			fmt.Fprintf(cmd.OutOrStdout(), "recovered: %d records\n", r.Keys)
			return nil
		}}
	repair.Flags().BoolVar(&dry, "dry-run", false, "say what would be done, and change nothing")
	c.AddCommand(dump, compact, repair)
	return c
}

// inspect looks at the store in a folder, which has to be there.
func inspect(dir string) (*store.Report, error) {
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return nil, &coded{Unreadable, fmt.Errorf("%s is no folder that can be read; name the store's", dir)}
	}
	r, err := store.Inspect(store.Dir(dir), recovery.MergeAfterDamage)
	if err != nil {
		return nil, &coded{Unreadable, err}
	}
	return r, nil
}

func tellDamage(cmd *cobra.Command, r *store.Report) {
	for _, d := range r.Damage {
		what := "a torn tail; nothing was lost that had been written whole"
		if d.Lost {
			what = "what was changed from here on is lost, but for what later frames ended"
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s; %s\n", d, what)
	}
}
