package simwire

import (
	"bufio"
	"strings"
	"testing"
)

const start = "ROUND TsNs=1000 serial=1\nSTART Who=proxy-1 Prng=5 Ceilings.MaxDispatches=3 TickNs=5000000 " +
	"Discovery=pushed RuleSets.count=1 RuleSets.0.Name=r RuleSets.0.Effect=fragile RuleSets.0.BillingValue=1.0 " +
	"RuleSets.0.ResponseTargetNs=800000000 Zone=z New.Thing=7\n" +
	"LEDGER Ref=0 Elements=1\nHOST Host=1.2.3.4:5 RackZone=z Cell=0 State=Running Share=1\n" +
	"DIRECTORY_UPDATE Who=proxy-1 Revision=1 Ref=0 Form=restored\n"

func TestEventsAndDecisions(t *testing.T) {
	in := start + "NEW_REQUEST Who=proxy-1 Call=9 Priority=r Entity=k BudgetNs=900000000\nNOVELTY Who=proxy-1\nFLUSH\n" +
		"ROUND TsNs=2000 serial=2\nFINISHED Who=proxy-1 Call=9 Host=1.2.3.4:5 DoneFlag=0 Try=0 Reason=77 DurationNs=5\n" +
		"ALARM Who=proxy-1 Mark=0\nFINISHED Who=proxy-1 Call=9 Host=1.2.3.4:5 DoneFlag=0 Try=0 Reason=0 DurationNs=5\nFLUSH\n"
	want := "CALL_OUT Who=proxy-1 Call=9 Host=1.2.3.4:5 TryUntilNs=790001000\n" +
		"NOTIFY_ME Who=proxy-1 DelayNs=790000000 Mark=0\nACK serial=1\nLOSE Who=proxy-1 Call=9\nACK serial=2\n"
	var out strings.Builder
	if err := Run(strings.NewReader(in), &out); err != nil || out.String() != want {
		t.Errorf("error %v, got:\n%swant:\n%s", err, out.String(), want)
	}
}

func TestBadInput(t *testing.T) {
	for name, c := range map[string][2]string{
		"broken number":         {start + "WITHDRAWN Who=proxy-1 Call=x\n", "line 6: Call=\"x\": expected a whole number"},
		"broken base64":         {start + "PEER_DATA Who=proxy-1 Neighbour=1 Bytes=?\n", "line 6: Bytes=\"?\": expected base64"},
		"list never sent":       {start + "DIRECTORY_UPDATE Who=proxy-1 Ref=3 Form=replace\n", "line 6: Ref=3: expected"},
		"outside a round":       {"ALARM Who=proxy-1 Mark=1\n", "line 1: ALARM outside a round: expected ROUND"},
		"instance not started":  {start + "ALARM Who=proxy-2 Mark=1\n", "line 6: ALARM for \"proxy-2\": expected"},
		"FLUSH without ROUND":   {"FLUSH\n", "line 1: FLUSH outside a round: expected ROUND"},
		"ROUND inside a round":  {start + "ROUND TsNs=1 serial=2\n", "line 6: ROUND inside a round: expected FLUSH"},
		"list cut short":        {"ROUND TsNs=1 serial=1\nLEDGER Ref=0 Elements=1\nFLUSH\n", "line 3: FLUSH: expected a HOST line"},
		"number in a list line": {"ROUND TsNs=1 serial=1\nLEDGER Ref=0 Elements=1\nHOST Host=a Share=q\n", "line 3: Share=\"q\": expected a number"},
	} {
		t.Run(name, func(t *testing.T) {
			err := Run(strings.NewReader(c[0]), &strings.Builder{})
			if err == nil || !strings.HasPrefix(err.Error(), c[1]) {
				t.Errorf("got %v, want %s", err, c[1])
			}
		})
	}
}

func TestPanicBecomesException(t *testing.T) {
	var out strings.Builder
	a := &adapter{out: bufio.NewWriter(&out)}
	a.recoverPanic("proxy-1", func() { panic("no\nserver") })
	a.out.Flush()
	if want := "EXCEPTION Who=proxy-1 Msg=no server\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

func TestRestartedInstanceHasNoOldRequests(t *testing.T) {
	begin, list, _ := strings.Cut(start, "LEDGER")
	_, begin, _ = strings.Cut(begin, "\n")
	in := start + "NEW_REQUEST Who=proxy-1 Call=9 Priority=r Entity=k BudgetNs=900000000\nFLUSH\n" +
		"ROUND TsNs=2000 serial=2\nHALT Who=proxy-1\n" + begin + "LEDGER" + list +
		"FINISHED Who=proxy-1 Call=9 Host=1.2.3.4:5 DoneFlag=0 Try=0 Reason=104 DurationNs=5\nFLUSH\n"
	var out strings.Builder
	if err := Run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if _, second, _ := strings.Cut(out.String(), "ACK serial=1\n"); second != "ACK serial=2\n" {
		t.Errorf("after a restart got:\n%s", second)
	}
}
