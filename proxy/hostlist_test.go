package proxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"ivybank/proxy/http1"
)

// indented returns a list's text on several lines.
func indented(t *testing.T, text, by string) string {
	t.Helper()
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(text), "", by); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// Lists come on one line or several, with empty lines between them. However their bytes are split, each is applied
// once and whole; a truncated or invalid one does not affect the others.
func TestListBuffer(t *testing.T) {
	one := `{"generation":1,"reset":true,"instances":[{"instanceId":"a","hostPort":"b:1"},` +
		`{"instanceId":"c{","hostPort":"d:1"}]}`
	two := `{"generation":2,"reset":false,"instances":[{"instanceId":"a","lifecycle":"gone"}]}`
	cut, useless := `{"generation":`, `{"generation":1,"instances":[{"hostPort":"x"}]}`
	for name, c := range map[string]struct {
		text string
		want []int64 // generations; 0: an error
	}{
		"one line each":            {one + "\n\n\n" + two + "\n", []int64{1, 2}},
		"indented":                 {indented(t, one, "  ") + "\n\n" + indented(t, two, "\t"), []int64{1, 2}},
		"broken without an indent": {indented(t, one, "") + "\n" + indented(t, two, "") + "\n", []int64{1, 2}},
		"other line ends":          {strings.ReplaceAll(indented(t, one, " "), "\n", "\r\n") + two, []int64{1, 2}},
		"none between":             {one + two, []int64{1, 2}},
		"empty lines within":       {strings.ReplaceAll(indented(t, one, " "), "\n", "\n\n") + two, []int64{1, 2}},
		"cut, then a line":         {cut + "\n" + one + "\n" + two + "\n", []int64{0, 1, 2}},
		"cut, then indented":       {cut + "\n" + indented(t, one, " ") + "\n" + two + "\n", []int64{0, 1, 2}},
		"cut in a name":            {`{"generation":1,"inst` + "\n" + indented(t, two, " ") + "\n", []int64{0, 2}},
		"none":                     {"nothing\n" + two + "\n", []int64{0, 2}},
		"unusable":                 {useless + "\n" + two + "\n", []int64{0, 2}},
		"not whole":                {two + "\n" + one[:len(one)-1], []int64{2}},
		"only empty lines":         {"\n\n\r\n", nil},
		"a brace within a string":  {strings.Replace(one, `"d:1"`, `"}\n{"`, 1) + "\n" + two, []int64{1, 2}},
		"other field for the list": {`{"generation":3}` + "\n" + two + "\n", []int64{0, 2}},
	} {
		for _, size := range []int{1, 7, len(c.text)} {
			if size == 1 && name == "none" {
				continue // byte by byte each is an error of its own
			}
			t.Run(fmt.Sprint(name, " by ", size), func(t *testing.T) {
				var got []int64
				var lists listBuffer
				for from := 0; from < len(c.text); from += size {
					lists.add([]byte(c.text[from:min(len(c.text), from+size)]))
					for r, whole, err := lists.next(); whole; r, whole, err = lists.next() {
						if err != nil {
							r.Generation = 0
						}
						if r.Generation > 0 || len(got) == 0 || got[len(got)-1] > 0 { // consecutive errors count as one
							got = append(got, r.Generation)
						}
					}
				}
				if fmt.Sprint(got) != fmt.Sprint(c.want) {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		}
	}
}

// A list on a watch reaches the balancer whole, also if it is indented and split into chunks anywhere.
func TestIndentedWatch(t *testing.T) {
	p := newBareProxy(t)
	p.accepting = true
	nb, _ := pair(t)
	w := &watch{baseConn: baseConn{nb: nb}, parser: http1.NewChunkParser(maxListBytes), connected: true}
	p.discovery.watch = w
	text := indented(t, `{"generation":8,"reset":true,"instances":[{"instanceId":"u","hostPort":"127.0.0.1:2",
		"lifecycle":"ready"},{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"draining"}]}`, "  ") + "\n\n"
	bytes := []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for ; text != ""; text = text[min(50, len(text)):] {
		bytes = http1.AppendPiece(bytes, true, []byte(text[:min(50, len(text))]), false)
	}
	for i := range bytes {
		w.onRead(p, p.now(), bytes[i:i+1])
	}
	p.round()
	if u := p.host("u"); u == nil || !u.ready || p.host("s").ready {
		t.Error("the list was not applied")
	}
	if p.count.Lines != 1 || p.count.BadLines != 0 || p.discovery.generation != 8 || len(w.buffer.data) != 0 {
		t.Errorf("%d lists, %d bad, generation %d, %d bytes held", p.count.Lines, p.count.BadLines,
			p.discovery.generation, len(w.buffer.data))
	}
	w.onRead(p, p.now(), http1.AppendPiece(nil, true, nil, true))
	if p.round(); p.discovery.watch == w {
		t.Error("a watch whose response has ended is still open")
	}
}
