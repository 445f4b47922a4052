package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const page, begin, end = "../../docs/SIDECAR.md", "<!-- settings -->\n", "<!-- end of settings -->"

// table is the table of settings as the operators' page has it.
func table() string {
	owners := map[Owner]string{OfSite: "site file", OfApplication: "declaration", OfWriter: "written file"}
	var b strings.Builder
	for _, s := range Sections {
		name := s.Kind
		if s.Named != Alone {
			name += " NAME"
		}
		fmt.Fprintf(&b, "### `[%s]` (%s): %s\n\n| key | default | may be | on reload | |\n| --- | --- | --- | --- | --- |\n", name, owners[s.Owner], s.Doc)
		for _, set := range s.Settings {
			value, may, reload := set.Default, "like "+set.example(), "no"
			switch {
			case set.required():
				value = "required"
			case set.Optional:
				value = "absent"
			}
			if len(set.Choices) > 0 {
				may = strings.Join(set.Choices, ", ")
			} else if set.Type.figure() {
				may = set.bounds()
			}
			if set.Reload {
				reload = "yes"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", set.Key, value, may, reload, set.Doc)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// The operators' page has every setting as the table in the code has it, and every kind of finding.
func TestPageIsWhole(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, ok := strings.Cut(string(text), begin)
	old, tail, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		t.Fatalf("%s has no place for the settings", page)
	}
	if *update {
		if err := os.WriteFile(page, []byte(head+begin+table()+end+tail), 0o644); err != nil {
			t.Fatal(err)
		}
	} else if old != table() {
		t.Errorf("the settings on the page are not those of the code; go test ./internal/config -update writes them:\n%s", table())
	}
	for _, kind := range allKinds(t) {
		if !strings.Contains(tail, "`"+string(kind)+"`") {
			t.Errorf("the page says nothing of %q", kind)
		}
	}
}
