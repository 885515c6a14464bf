package fleet

import "cedardoor/wire"

// maxUnacknowledged is how many consecutive signs make a machine count as not
// acknowledging.
const maxUnacknowledged = 3

// Acknowledgement tracks whether commands to a machine take effect. A heartbeat
// that lacks the token or a run of an earlier response is a sign that they do
// not, and so is a direct command that fails while heartbeats arrive.
type Acknowledgement struct {
	Unacknowledged int // consecutive signs that commands take no effect

	answeredToken uint64 // token in the last response to a heartbeat
	commandFailed bool   // a direct command failed since the last heartbeat
}

// NotAcknowledging reports whether commands to the machine take no effect,
// although it reports.
func (a *Acknowledgement) NotAcknowledging() bool { return a.Unacknowledged >= maxUnacknowledged }

// takeUnacknowledged reports whether a heartbeat is a sign that the machine was
// not reached, apart from the tasks that it lists. It resets commandFailed.
func (a *Acknowledgement) takeUnacknowledged(heartbeat *wire.Heartbeat) bool {
	unacknowledged := heartbeat.Token < a.answeredToken || a.commandFailed
	a.commandFailed = false
	return unacknowledged
}

// Acknowledged records that something sent to the worker took effect.
func (f *Fleet) Acknowledged(machine *Machine) {
	if machine.Unacknowledged > 0 {
		f.MachineChanged(machine)
	}
	machine.Unacknowledged, machine.commandFailed = 0, false
}

// CommandFailed records that a direct command failed. It counts as a sign only
// once the worker reports again: until then the machine may merely be silent.
func (f *Fleet) CommandFailed(machine *Machine) { machine.commandFailed = true }

// notAcknowledged counts a sign that commands to the machine take no effect.
func (f *Fleet) notAcknowledged(machine *Machine) {
	machine.Unacknowledged++
	f.MachineChanged(machine)
}
