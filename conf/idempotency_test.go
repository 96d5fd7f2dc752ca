package conf

import (
	"strings"
	"testing"
)

func TestIdempotencyTable(t *testing.T) {
	valid := "format = \"ivybank/operator/1\"\n[idempotency]\nheader = \"Idempotency-Key\"\nentries = 10\n" +
		"answer_bytes = 10\nlargest_answer = 10\nwaiters = 1\nlongest_key = 10\nretry_in = \"1s\"\n" +
		"[[idempotency.ruleset]]\nname = \"a\"\nretain = \"1m\"\n"
	check := func(text string) error {
		o := &OperatorConfig{}
		f, err := Read("o.toml", []byte(text), o)
		if err != nil {
			return err
		}
		return o.checkIdempotency(f)
	}
	if err := check(valid); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]string{
		"Idempotency-Key -> Idempotency Key": "o.toml:3: idempotency.header: expected the name of a header",
		"entries = 10 -> entries = 0":        "o.toml:4: idempotency.entries: expected a number above 0",
		"waiters = 1 -> waiters = -1":        "o.toml:7: idempotency.waiters: expected a number above 0",
		"retry_in -> retry_on":               "o.toml:9: idempotency.retry_on: no such field",
		"retain = \"1m\" -> retain = \"0s\"": "o.toml:12: idempotency.ruleset.0.retain: expected a duration above 0",
		"name = \"a\" -> name = \"\"":        "o.toml:11: idempotency.ruleset.0.name: expected a unique name",
	} {
		from, to, _ := strings.Cut(change, " -> ")
		if err := check(strings.Replace(valid, from, to, 1)); err == nil || err.Error() != want {
			t.Errorf("%s: got %v, want %s", change, err, want)
		}
	}
}
