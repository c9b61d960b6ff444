package main

import (
	"io"
	"strings"
	"testing"
)

// The adapter replies to each batch, passes events to the instance's engine, and fails on invalid input.
func TestRunRepliesToBatchesAndFailsOnInvalidInput(t *testing.T) {
	start := "PROVISION door/1 5 peers-total=1 limits.max-attempts=1 classes.count=1 classes.0.target-us=500000 " +
		"classes.0.worth=1 classes.0.effect=safe tiers-of-service.count=1 tiers-of-service.0.name=p\n"
	var out strings.Builder
	err := run(strings.NewReader("CLOCK 1 1\nEOF_BATCH\nCLOCK 2 2\n"+start+"CENSUS 0 1\n"+
		"BACKEND a:1 0 0 0 in_service 1\nVIEW door/1 cached 1 0\nACCEPT door/1 9 0 0 u:a 2000000\nSTOP door/1\nEOF_BATCH\n"), &out)
	if err != nil || !strings.HasPrefix(out.String(), "YIELD 1\n") || !strings.HasSuffix(out.String(), "\nYIELD 2\n") {
		t.Fatalf("got error %v and output %q, want no error and the replies YIELD 1 and YIELD 2", err, out.String())
	}
	if !strings.Contains(out.String(), "HAND_OFF door/1 9 ") {
		t.Errorf("got output %q, want a HAND_OFF of request 9", out.String())
	}
	for _, invalid := range []string{"REMINDER door/2 1", "WHAT door/1", "PROVISION door/1 5 peers-total=0"} {
		if err := run(strings.NewReader("CLOCK 1 1\n"+invalid+"\nEOF_BATCH\n"), io.Discard); err == nil {
			t.Errorf("%q: got no error, want one", invalid)
		}
	}
}
