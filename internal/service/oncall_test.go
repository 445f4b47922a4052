package service

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"pewterwheel/internal/state"
)

// The page for on-call staff names every line that the program logs, every text of the module and every counter.
func TestOnCallPageIsWhole(t *testing.T) {
	page, err := os.ReadFile("../../docs/ON-CALL.md")
	if err != nil {
		t.Fatal(err)
	}
	members, err := os.ReadFile("../../docs/MEMBERS.md") // what only members of a fleet log
	if err != nil {
		t.Fatal(err)
	}
	page = append(page, members...)
	var told []string
	for pattern, call := range map[string]string{"../*/*.go": `log\.(?:Info|Warn|Error)\("([^"]+)"`,
		"../../decide/*.go": `logf\("([^%"]+?) *%`} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range regexp.MustCompile(call).FindAllStringSubmatch(string(text), -1) {
				told = append(told, m[1])
			}
		}
	}
	if len(told) < 15 {
		t.Errorf("only %d lines found: %q", len(told), told)
	}
	for field := range strings.FieldsSeq(new(state.Counters).String()) {
		name, _, _ := strings.Cut(field, "=")
		told = append(told, name)
	}
	for _, name := range told {
		if !strings.Contains(string(page), "`"+name) {
			t.Errorf("%q is not on the page", name)
		}
	}
}
