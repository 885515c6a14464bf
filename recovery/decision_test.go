package recovery

import (
	"strings"
	"testing"
)

// everyCase lists all that a decision may depend on.
func everyCase() (cases []Case) {
	for job := range jobStates {
		for attempt := range attemptStates {
			for sign := range signs {
				cases = append(cases, Case{job, attempt, sign})
			}
		}
	}
	return cases
}

// Whatever the case, there is a decision, and it keeps what recovery promises.
func TestEveryCaseKeepsThePromises(t *testing.T) {
	cases := everyCase()
	if len(cases) != 5*3*5 {
		t.Fatalf("%d cases", len(cases))
	}
	for _, c := range cases {
		d := Decide(c)
		if d >= decisions || strings.Contains(d.String(), "(") {
			t.Errorf("%+v: no decision: %v", c, d)
		}
		unknown := c.Job == JobNotRead || c.Job == JobUnreadable || c.Job == JobUnrecorded
		if d == Stop && (c.Sign != SignRunning || unknown || c.Job == JobActive && c.Attempt != AttemptOther) {
			t.Errorf("%+v: stopped without a cause", c)
		}
		if d == StartAgain && (c.Sign != SignGone || c.Job != JobActive || c.Attempt != AttemptCurrent) {
			t.Errorf("%+v: started again before it is proved that it is gone", c)
		}
		if (c.Sign == SignNone || c.Sign == SignAbsent) && d != Wait {
			t.Errorf("%+v: %v, though nothing is known", c, d)
		}
		if d == Release && (c.Sign != SignEnded && c.Sign != SignGone) {
			t.Errorf("%+v: its room is freed while it may be there", c)
		}
		if c.Job == JobActive && c.Attempt == AttemptCurrent && c.Sign == SignEnded && d != TakeResult {
			t.Errorf("%+v: %v, its result is lost", c, d)
		}
		if c.Job == JobOver && c.Sign == SignRunning && d != Stop {
			t.Errorf("%+v: %v, though its job is over", c, d)
		}
	}
}

// The decisions that are not told by a promise alone.
func TestDecisions(t *testing.T) {
	for _, tt := range []struct {
		c    Case
		want Decision
	}{
		{Case{JobActive, AttemptCurrent, SignRunning}, Continue},
		{Case{JobActive, AttemptOther, SignRunning}, Stop},
		{Case{JobActive, AttemptOther, SignEnded}, Release},
		{Case{JobActive, AttemptUnreadable, SignRunning}, Adopt},
		{Case{JobActive, AttemptUnreadable, SignGone}, Wait},
		{Case{JobNotRead, AttemptOther, SignRunning}, LookUp},
		{Case{JobUnrecorded, AttemptOther, SignRunning}, Retain},
		{Case{JobUnrecorded, AttemptCurrent, SignRunning}, Retain},
		{Case{JobUnreadable, AttemptCurrent, SignRunning}, Retain},
		{Case{JobUnreadable, AttemptCurrent, SignGone}, Release},
	} {
		if got := Decide(tt.c); got != tt.want {
			t.Errorf("%+v: %v, want %v", tt.c, got, tt.want)
		}
	}
}
