package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"pewterwheel/internal/config"
)

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Write, check and compare sidecars' configuration", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	c.AddCommand(writeCommand(), checkCommand(), diffCommand())
	return c
}

// read reads files; those that cannot be read are said in the form of findings, and are an error together.
func read(cmd *cobra.Command, paths []string) ([]config.File, error) {
	var files []config.File
	failed := false
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			failed = true
			var path *fs.PathError
			if errors.As(err, &path) {
				err = path.Err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "%s:0: could not be read: %v; name a file that can\n", p, err)
			continue
		}
		files = append(files, config.File{Name: p, Text: text})
	}
	if failed {
		return nil, &coded{Unreadable, nil}
	}
	return files, nil
}

// tell writes findings and tells whether they fail the command.
func tell(cmd *cobra.Command, found config.Findings, asJSON, strict bool, files int) error {
	if asJSON {
		if found == nil {
			found = config.Findings{}
		}
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		if err := e.Encode(found); err != nil {
			return &coded{Unreadable, err}
		}
	} else {
		for _, f := range found {
			fmt.Fprintln(cmd.OutOrStdout(), f)
		}
		errs := found.Errors()
		fmt.Fprintf(cmd.ErrOrStderr(), "%d files: %d findings, %d warnings\n", files, errs, len(found)-errs)
	}
	if found.Errors() > 0 || strict && len(found) > 0 {
		return &coded{Found, nil}
	}
	return nil
}

func checkCommand() *cobra.Command {
	var site string
	var asJSON, strict bool
	c := &cobra.Command{Use: "check [--site SITE.ini] FILE...", Short: "Print all that is wrong with site files, declarations and sidecars' files",
		Long: "Takes files of all kinds together and prints each finding as FILE:LINE: what is wrong; what would be right.\n" +
			"Exit code 0: sound; 1: findings; 2: a file could not be read.",
		Args: cobra.ArbitraryArgs, RunE: func(cmd *cobra.Command, args []string) error {
			if site != "" {
				args = append([]string{site}, args...)
			}
			if len(args) == 0 {
				return errors.New("name the files to check")
			}
			files, err := read(cmd, args)
			if err != nil {
				return err
			}
			return tell(cmd, config.Check(files).Findings, asJSON, strict, len(files))
		}}
	c.Flags().StringVar(&site, "site", "", "the site's file, against which the others are checked")
	c.Flags().BoolVar(&asJSON, "json", false, "print the findings as JSON")
	c.Flags().BoolVar(&strict, "strict", false, "let warnings fail, too")
	return c
}

func writeCommand() *cobra.Command {
	var site, out string
	c := &cobra.Command{Use: "write --site SITE.ini --out DIR APP.ini...", Short: "Write one sidecar's file for each application",
		Long: "Checks everything, and only then puts NAME.sidecar.ini in place for each application, by rename. With any\n" +
			"finding no file is touched. Exit codes are those of check.",
		Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			files, err := read(cmd, append([]string{site}, args...))
			if err != nil {
				return err
			}
			written, found := config.Write(files[0], files[1:])
			if err := tell(cmd, found, false, false, len(files)); err != nil {
				return err
			}
			if err := Put(out, written); err != nil {
				return &coded{Found, err}
			}
			for _, f := range written {
				fmt.Fprintln(cmd.OutOrStdout(), filepath.Join(out, f.Name))
			}
			return nil
		}}
	c.Flags().StringVar(&site, "site", "", "the site's file")
	c.Flags().StringVar(&out, "out", "", "the folder to write to")
	_ = c.MarkFlagRequired("site")
	_ = c.MarkFlagRequired("out")
	return c
}

// Put writes files beside their places, and only when all are on the disk puts each in place by rename: whoever reads
// one meanwhile has the old one or the new one, whole.
func Put(dir string, files []config.File) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var made []string
	defer func() {
		for _, name := range made {
			_ = os.Remove(name) // those in place are gone from here
		}
	}()
	for _, f := range files {
		t, err := os.CreateTemp(dir, "."+f.Name+".*")
		if err != nil {
			return err
		}
		made = append(made, t.Name())
		if _, err = t.Write(f.Text); err == nil {
			err = t.Sync()
		}
		if err2 := t.Close(); err == nil {
			err = err2
		}
		if err == nil {
			err = os.Chmod(t.Name(), 0o644)
		}
		if err != nil {
			return fmt.Errorf("no file was changed: %w", err)
		}
	}
	for i, f := range files {
		if err := os.Rename(made[i], filepath.Join(dir, f.Name)); err != nil {
			return fmt.Errorf("%d of %d files are in place: %w", i, len(files), err)
		}
	}
	return nil
}

func diffCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "diff OLD NEW", Short: "Say what changes in meaning from one file to another",
		Long: "Says what changes and whether it takes effect on reload or at the next start. Order, comments, units and\n" +
			"defaults that are spelled out are no changes. Exit code 0, also with changes; 1: findings; 2: could not be read.",
		Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
			files, err := read(cmd, args)
			if err != nil {
				return err
			}
			var docs []*config.Document
			for _, f := range files { // each alone: the two are not beside each other in service
				r := config.Check([]config.File{f})
				if r.Findings.Errors() > 0 {
					return tell(cmd, r.Findings, asJSON, false, 1)
				}
				docs = append(docs, r.Documents[0])
			}
			if docs[0].Kind != docs[1].Kind {
				return &coded{Unreadable, fmt.Errorf("%s is a %s, and %s a %s", args[0], docs[0].Kind, args[1], docs[1].Kind)}
			}
			changes := config.Diff(docs[0], docs[1])
			if asJSON {
				if changes == nil {
					changes = []config.Change{}
				}
				return json.NewEncoder(cmd.OutOrStdout()).Encode(changes)
			}
			for _, c := range changes {
				fmt.Fprintln(cmd.OutOrStdout(), c)
			}
			if len(changes) == 0 {
				fmt.Fprintln(cmd.OutOrStdout(), "nothing changes in meaning")
			}
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print the changes as JSON")
	return c
}
