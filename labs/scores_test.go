package main

import (
	"strings"
	"testing"
)

const scoreText = `{"id":"abcd1234","cmd":"score","site":"desk","score":0.7,"days":[
{"name":"trouble-1","slot":"trouble","G":0.6,"served":0.94,"refused":0.001,"failed":0.03,"prices":[["machine-seconds",10.0,0.02],["cloud calls",5.0,0.03],["probes",0.0,0.0]]},
{"name":"scale-1","slot":"scale","G":0.7,"served":0.95,"refused":0,"failed":0.02,"prices":[]},
{"name":"quiet-1","slot":"quiet","G":0.9,"served":0.99,"refused":0,"failed":0.01,"prices":[["x",1.0]]},
{"name":"fresh-1a2b","slot":"trouble","G":0.1,"served":0.1,"refused":0,"failed":0.9,"prices":[]}]}`

// TestScores checks the table of an entry of the journal.
func TestScores(t *testing.T) {
	e, err := parseScore([]byte(scoreText))
	if err != nil {
		t.Fatal(err)
	}
	if got := e.meanWorth(); got < 0.6499 || got > 0.6501 || len(e.days) != 3 {
		t.Errorf("got mean %.4f of %d days, want 0.65 of trouble-1 and scale-1, and 3 days", got, len(e.days))
	}
	var b strings.Builder
	printScore(&b, e)
	for _, want := range []string{"desk (entry abcd1234): score 0.700", "| trouble-1 | 0.600 | 0.940 | 0.001 | 0.030 | 0.050 | cloud calls 0.030 |"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("got %q, want it to contain %q", b.String(), want)
		}
	}
	for name, text := range map[string]string{"no JSON": "{", "another command": `{"cmd":"hunt"}`} {
		if _, err := parseScore([]byte(text)); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}
