package standin

import (
	"testing"
	"time"
)

// The worst window of a cold office is that in which most came beside what it bore then, in whatever order it was read.
func TestWorstWindowOfAColdOffice(t *testing.T) {
	book := NewBook()
	o, err := NewOffice("o", "127.0.0.1:0", book, Script{Work: 40 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	o.Cold(Bound{Start: 0.25, Cold: 10 * time.Second, Multiple: 3, Fall: time.Second})
	for i := range 48 { // a budget of 75 x 0.4 when the last one comes, that is 42.95 with what is put down to chance
		o.came = append(o.came, arrival{at: o.started.Add(2*time.Second - time.Duration(i)*time.Millisecond)})
	}
	for i := range 60 { // a budget of 75 x 0.7, that is 69
		o.came = append(o.came, arrival{at: o.started.Add(6*time.Second - time.Duration(i)*16*time.Millisecond)})
	}
	if got := o.Worst(); got < 1.11 || got > 1.13 {
		t.Errorf("the worst window had %.3f of what the office bore, not 1.118", got)
	}
	o.came[47].late = time.Second // the first to come: these 48 may have come in two seconds
	if got := o.Worst(); got < 0.86 || got > 0.88 {
		t.Errorf("the worst window had %.3f of what the office bore, not 0.870, as it read late", got)
	}
}
