package fleet

import "testing"

func TestLostRunsAreNotAcknowledged(t *testing.T) {
	f, machine, allocation := newFleetWithAllocation(t)
	f.Report(2, heartbeat(1, 2, 5), true)
	for sequence := uint64(3); sequence < 3+maxUnacknowledged; sequence++ {
		if machine.NotAcknowledging() {
			t.Fatalf("not acknowledging after %d answers", sequence-3)
		}
		f.Commands(machine, 3, true, AllCommands)
		f.Report(4, heartbeat(1, sequence, 5), true)
	}
	if !machine.NotAcknowledging() {
		t.Fatal("acknowledging though each answer had no effect")
	}
	if !allocation.Live() {
		t.Error("its task was released without proof")
	}
	f.Report(5, heartbeat(1, 20, 5, running), true)
	if machine.NotAcknowledging() {
		t.Error("not acknowledging after a run took effect")
	}
}

// Signs besides lost runs: a token that is told and never shown, and direct commands
// that fail while reports come. Silence alone is no sign.
func TestTokensAndFailedCommandsAreNotAcknowledged(t *testing.T) {
	f, machine, _ := newFleetWithAllocation(t)
	f.Report(2, heartbeat(1, 2, 5, running), true)
	for sequence := uint64(3); sequence < 3+maxUnacknowledged; sequence++ {
		f.HeartbeatAnswered(machine, 2, 6)
		f.Report(3, heartbeat(1, sequence, 5, running), true)
	}
	if !machine.NotAcknowledging() {
		t.Error("acknowledging though it never showed the token it was told")
	}
	f.Report(4, heartbeat(1, 20, 6, running), true)
	if machine.NotAcknowledging() {
		t.Error("not acknowledging after it showed the token")
	}
	for range 2 * maxUnacknowledged {
		f.CommandFailed(machine)
	}
	if machine.NotAcknowledging() {
		t.Error("not acknowledging on failed commands alone, though it may just be silent")
	}
	for sequence := uint64(21); sequence < 21+maxUnacknowledged; sequence++ {
		f.CommandFailed(machine)
		f.Report(5, heartbeat(1, sequence, 6, running), true)
	}
	if !machine.NotAcknowledging() {
		t.Error("acknowledging though commands fail while its reports come")
	}
}
