package fleet

import "cedardoor/wire"

// maxUnacknowledged is how many signs in a row make a machine one that does not
// acknowledge.
const maxUnacknowledged = 3

// Acknowledgement is whether what a machine is told takes effect. Signs that it
// does not are heartbeats that show neither the token nor the runs of an earlier
// answer, and direct commands that fail while heartbeats come.
type Acknowledgement struct {
	Unacknowledged int // such signs in a row

	answeredToken uint64 // the token in the last answer to a heartbeat
	commandFailed bool   // a direct command failed since the last heartbeat
}

// NotAcknowledging tells whether nothing that the machine is told takes effect,
// although it reports.
func (a *Acknowledgement) NotAcknowledging() bool { return a.Unacknowledged >= maxUnacknowledged }

// missedBy tells whether a heartbeat is a sign that the machine was not reached,
// apart from the tasks that it lists. It uses up a failed command.
func (a *Acknowledgement) missedBy(heartbeat *wire.Heartbeat) bool {
	missed := heartbeat.Token < a.answeredToken || a.commandFailed
	a.commandFailed = false
	return missed
}

// Acknowledged notes that something that the worker was told took effect.
func (f *Fleet) Acknowledged(machine *Machine) {
	if machine.Unacknowledged > 0 {
		f.MachineChanged(machine)
	}
	machine.Unacknowledged, machine.commandFailed = 0, false
}

// CommandFailed notes that a direct command did not get through. That is a sign
// only once the worker reports again: a machine may just be silent.
func (f *Fleet) CommandFailed(machine *Machine) { machine.commandFailed = true }

// notAcknowledged notes a sign that what the machine was told took no effect.
func (f *Fleet) notAcknowledged(machine *Machine) {
	machine.Unacknowledged++
	f.MachineChanged(machine)
}
