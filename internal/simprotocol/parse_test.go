package simprotocol

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"bellwood/internal/policy"
)

const provision = "PROVISION door/3 51 peers-total=2 rank=0 resolution-us=2000 discovery=pushed new.key=x " +
	"limits.max-attempts=3 limits.cancel=true classes.count=1 classes.0.effect=keyed classes.0.group=cell " +
	"classes.0.target-us=500000 classes.0.worth=3.0 tiers-of-service.count=1 tiers-of-service.0.units-per-s=1.9 " +
	"tiers-of-service.0.most-at-once=4\n"

// readBatches reads the batches of a text up to its end or the first error.
func readBatches(text string) ([]*Batch, error) {
	reader := NewReader(strings.NewReader(text))
	var batches []*Batch
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return batches, nil
		}
		if err != nil {
			return batches, err
		}
		batches = append(batches, batch)
	}
}

// Messages are parsed into events of the engine, with the protocol's words translated and its defaults for absent fields.
func TestReaderParsesMessagesIntoEvents(t *testing.T) {
	batches, err := readBatches("CLOCK 8412250 12\n" + provision + "CENSUS 0 2\n" +
		"BACKEND 10.18.74.7:8003 0 0 0 in_service 1 -\n" +
		"BACKEND 10.18.74.7:8044 0 0 1 terminating 1.5 6100000\nVIEW door/3 cached 41 0\n" +
		"ACCEPT door/3 1564119492 0 0 u:kd6b 240000 2 3 1 1\nACCEPT door/3 7 0 0 u:x 240000\n" +
		"VERDICT door/3 7 0 10.18.74.7:8003 1 18500 1 86 3 7,0.62\nVERDICT door/3 7 1 10.18.74.7:8003 3 18500 0 - -\n" +
		"COUNT_RESULT door/3 9041552 1 38 2150\nCOUNT_RESULT door/3 9041552 3 - 2150\nREMINDER door/3 77\n" +
		"ABORTED door/5 24\nFIRST_BYTE door/3 7 10.18.74.7:8003 0 20\nCHECKED door/3 100 1 10.18.74.7:8003 4,new\n" +
		"FROM_PEER door/3 1 6869\nVIEW door/3 failed 41 -\nSTOP door/3\nEOF_BATCH\n\nCLOCK 8412260 13\nEOF_BATCH\n")
	if err != nil {
		t.Fatal(err)
	}
	if len(batches) != 2 || batches[0].Now != 8412250*time.Microsecond || batches[1].Number != "13" {
		t.Fatalf("got batches %+v, want 2, the first at 8412250µs, the second with number 13", batches)
	}
	items := batches[0].Items
	settings := items[0].Settings
	class := settings.Classes[0]
	if settings.Gateways != 2 || class.Idempotency != policy.IdempotentWithKey || class.DedupScope != policy.DedupCell ||
		class.LatencyObjective != 500*time.Millisecond || settings.Plans[0].Rate != 1.9 || !settings.AllowCancel {
		t.Errorf("got settings %+v, want those of the PROVISION line", settings)
	}
	update := items[1].Event.(policy.EndpointUpdate)
	if len(update.Backends) != 2 || update.Backends[1].State != policy.Draining ||
		update.Backends[1].Started != 6100*time.Millisecond {
		t.Errorf("got endpoint update %+v, want the 2 entries of list 0", update)
	}
	if request := items[3].Event.(policy.Request); request.Cost != 1 || request.Gateways != 0 {
		t.Errorf("absent fields: got %+v, want Cost 1 and Gateways 0", request)
	}
	result := items[4].Event.(policy.AttemptResult)
	if result.Status != policy.OK || !result.RequestClosed || result.QuotaUsage != 86 || result.Cost != 3 {
		t.Errorf("got attempt result %+v, want that of the VERDICT line", result)
	}
}

var invalidLines = []string{
	"NONSENSE door/3 1", "ACCEPT door/3", "ACCEPT door/3 x 0 0 u:a 1", "ACCEPT door/3 1 0 0 - 5",
	"ACCEPT door/3 1 0 0 u:a 1 nan", "VERDICT door/3 7 0 b 9 1 1", "VERDICT door/3 7 0 b 1 1 maybe",
	"COUNT_RESULT door/3 1 1 - 5", "VIEW door/3 odd 1 0", "VIEW door/3 full 1 9", "REMINDER door/3 -1",
	"BACKEND a 0 0 0 in_service 1", "CENSUS 0 -1", "CENSUS 0 1\nREMINDER door/3 1", "CLOCK 1 1",
	"PROVISION door/3 1 classes.count=x", "PROVISION door/3 1 word", "PROVISION door/3 1 discovery=carrier",
	"CENSUS 0 1\nBACKEND a 0 0 0 asleep 1",
}

// Next fails on an invalid line with an error that gives the line's number.
func TestInvalidLineIsReportedByNumber(t *testing.T) {
	for _, lines := range invalidLines {
		_, err := readBatches("CLOCK 1 1\n" + lines + "\nEOF_BATCH\n")
		last := 1 + strings.Count(lines, "\n") + 1 // CLOCK is line 1; the last of the following lines is the invalid one
		var lineErr *LineError
		if !errors.As(err, &lineErr) || lineErr.Line != last || !strings.HasPrefix(err.Error(), fmt.Sprintf("line %d: ", last)) {
			t.Errorf("%q: got error %v, want one for line %d", lines, err, last)
		}
	}
	for _, text := range []string{"EOF_BATCH\n", "CLOCK 1 1\n", "CLOCK x 1\nEOF_BATCH\n"} {
		if _, err := readBatches(text); err == nil {
			t.Errorf("%q: got no error, want one", text)
		}
	}
}

// The error for a missing field gives that field's number, not the number of the last field in the line.
func TestMissingOrInvalidFieldIsReportedByNumber(t *testing.T) {
	for line, want := range map[string]int{"ACCEPT door/3": 2, "ACCEPT door/3 7 0 0 u:a": 6, "ACCEPT door/3 7 0 0 - 5": 5,
		"ACCEPT door/3 7 x 0 u:a 5": 3, "VERDICT door/3 7 0 b 1 1": 7, "REMINDER": 1} {
		_, err := readBatches("CLOCK 1 1\n" + line + "\nEOF_BATCH\n")
		var fieldErr *FieldError
		if !errors.As(err, &fieldErr) || fieldErr.Field != want {
			t.Errorf("%q: got error %v, want one for field %d", line, err, want)
		}
	}
}

// No input makes the reader panic or read for ever.
func FuzzReader(f *testing.F) {
	f.Add("CLOCK 1 1\n" + provision + "EOF_BATCH\n")
	for _, line := range invalidLines {
		f.Add("CLOCK 1 1\n" + line + "\nEOF_BATCH\n")
	}
	f.Fuzz(func(_ *testing.T, text string) { readBatches(text) })
}
