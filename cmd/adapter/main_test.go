package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pewterwheel/decide"
)

const initEvent = `{"what":"INIT","nonce64":1,"settings":{"balancers":2,"quantum_us":5000,
"classes":[{"aim_us":2000000,"deadline_us":8000000,"importance":1}]}}`

const listEvents = `{"what":"MANIFEST","sheet":0,"rows":[{"server":"h:1","place_no":0,"availability":"up"}]},
{"what":"UPDATE","form":"warm_copy","sheet":0,"rev":1}`

func batch(now, frame int, news string) string {
	line := fmt.Sprintf(`{"ts_us":%d,"frame":%d,"parts":[{"node_id":0,"news":[%s]}]}`, now, frame, news)
	return strings.ReplaceAll(line, "\n", "") + "\n"
}

func order(id int) string {
	return fmt.Sprintf(`{"what":"ORDER","handle":%d,"client_deadline_us":9000000,"destination":0}`, id)
}

func TestPlaysACall(t *testing.T) {
	var out bytes.Buffer
	in := batch(1000, 1, initEvent+","+listEvents) + batch(2000, 2, order(7)) + `{"ts_us":3000,"frame":3,"parts":[]}` + "\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || !strings.Contains(lines[1], `{"what":"ROUTE","handle":7,"server":"h:1"}`) ||
		lines[2] != `{"frame":3,"parts":[]}` {
		t.Fatalf("replies:\n%s", out.String())
	}
}

func TestRestartWithinABatchForgets(t *testing.T) {
	var out bytes.Buffer
	in := batch(1000, 1, initEvent+","+listEvents+","+order(7)+`,{"what":"TEARDOWN"},`+initEvent+","+listEvents) +
		batch(2000, 2, order(8))
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if s := out.String(); strings.Contains(s, `"handle":7`) || !strings.Contains(s, `"handle":8`) {
		t.Fatalf("replies:\n%s", s)
	}
}

func TestMalformedLeavesNoHalfReply(t *testing.T) {
	for _, bad := range []string{
		"{\n",
		batch(1000, 1, order(7)),
		batch(1000, 1, initEvent+`,{"what":"UPDATE","form":"total","sheet":3}`),
		batch(1000, 1, `{"what":"INIT","nonce64":1,"settings":{}}`),
	} {
		var out bytes.Buffer
		if err := run(strings.NewReader(bad), &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: error %v, wrote %q", bad, err, out.String())
		}
	}
}

func TestLongLines(t *testing.T) {
	var news []string
	for i := range 40_000 {
		news = append(news, order(i+1))
	}
	var out bytes.Buffer
	in := batch(1000, 1, initEvent+","+listEvents) + batch(2000, 2, strings.Join(news, ","))
	if len(in) < 2<<20 {
		t.Fatalf("the line is %d bytes, too short to show anything", len(in))
	}
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), `"SET_TIMER"`); n != 40_001 {
		t.Errorf("%d timers set, want one for the tick and one a call", n)
	}
}

func TestPanicIsTold(t *testing.T) {
	var h host
	if text := h.step(nil, 1, decide.Event{Kind: decide.NodeStarted}); !strings.Contains(text, "panic") {
		t.Errorf("a panic gave %q", text)
	}
}
