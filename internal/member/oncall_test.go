package member

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pewterwheel/internal/advice"
	"pewterwheel/internal/agent"
	"pewterwheel/internal/aggregate"
	"pewterwheel/internal/dissemination"
	"pewterwheel/internal/fleet"
	"pewterwheel/internal/fleetnet"
	"pewterwheel/internal/keeper"
	"pewterwheel/internal/lease"
	"pewterwheel/internal/pooling"
	"pewterwheel/internal/stage"
)

var update = flag.Bool("update", false, "write the table of errors of docs/ON-CALL.md anew")

// The operators' page lists every error of the parts that work between processes, with its advice, and no other.
func TestOnCallListsErrors(t *testing.T) {
	const page, begin, end = "../../docs/ON-CALL.md", "<!-- errors -->\n", "<!-- end of errors -->\n"
	want := "| error | what to do |\n| --- | --- |\n"
	for _, list := range [][]advice.Advised{agent.Errors, aggregate.Errors, dissemination.Errors, fleet.Errors, fleetnet.Errors, keeper.Errors, lease.Errors, Errors, pooling.Errors, stage.Errors} {
		for _, e := range list {
			say := e.Advice()
			if !strings.HasSuffix(say, ".") || advice.Of(fmt.Errorf("wrapped: %w", e)) != say {
				t.Errorf("%T advises %q", e, say)
			}
			want += fmt.Sprintf("| `%s` | %s |\n", reflect.TypeOf(e).Elem(), say)
		}
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(text), begin)
	got, after, ended := strings.Cut(rest, end)
	if !found || !ended {
		t.Fatal("the page has no table of errors")
	}
	if *update {
		if err := os.WriteFile(page, []byte(before+begin+want+end+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("docs/ON-CALL.md is not what the program has (go test ./internal/member -run OnCall -update):\n%s", diff)
	}
}
