package api

import (
	"context"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"cedardoor/clock"
	"cedardoor/config"
	"cedardoor/internal/standin"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/jonboulle/clockwork"
)

// One read answers all polls that wait for it, however many there are, and it
// begins after the last of them came.
func TestPollsShareReads(t *testing.T) {
	state := standin.NewState(clockwork.NewFakeClock())
	srv := httptest.NewServer(state.Handler("a"))
	defer srv.Close()
	st := store.New(strings.TrimPrefix(srv.URL, "http://"), config.State{RPS: 10000, WriteRPS: 10000, TxnOps: 24, ValueKB: 8}, 1)
	v := &view{st: st, ck: clock.New(nil), live: map[string]standing{},
		count: func(context.Context, []string) map[string][2]int { return nil }}
	set := func(uid string) {
		if _, err := st.Commit(t.Context(), store.Urgent, wire.Txn{Operations: []wire.Operation{{Set: store.JobKey(uid), Value: store.JobRecord{Spec: wire.Spec{UID: uid}}}}}); err != nil {
			t.Fatal(err)
		}
	}
	set("j-1")
	if at, _, err := v.ask(t.Context(), "j-1"); err != nil || at != unfinished {
		t.Fatalf("first poll: %v, %v", at, err)
	}
	reads := func(polls int) int {
		before := state.RequestCount()
		release := state.Stall()
		done := make(chan bool)
		poll := func() {
			at, _, err := v.ask(t.Context(), "j-1")
			done <- at == unfinished && err == nil
		}
		go poll()
		for state.RequestCount() == before { // its read is under way
			runtime.Gosched()
		}
		for range polls - 1 {
			go poll()
		}
		for waiting := 0; waiting < polls-1; runtime.Gosched() {
			v.mu.Lock()
			if v.next != nil {
				waiting = len(v.next.uids)
			}
			v.mu.Unlock()
		}
		release()
		for range polls {
			if !<-done {
				t.Fatal("a poll failed")
			}
		}
		return state.RequestCount() - before
	}
	if few, many := reads(2), reads(60); few != 2 || many != 2 {
		t.Errorf("%d reads for 2 polls, %d for 60, want 2: the one under way and one for all the rest", few, many)
	}
}
