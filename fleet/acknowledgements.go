package fleet

// maxUnacknowledged is how many answers in a row without effect make a machine deaf.
const maxUnacknowledged = 3

// Acknowledged notes that something told to the worker took effect.
func (f *Fleet) Acknowledged(machine *Machine) {
	if machine.Unacknowledged > 0 {
		f.MachineChanged(machine)
	}
	machine.Unacknowledged, machine.commandFailed = 0, false
}

// CommandFailed notes that a direct command did not get through. It is a sign only
// once the worker reports again: a silent machine is not a deaf one.
func (f *Fleet) CommandFailed(machine *Machine) { machine.commandFailed = true }

// NotAcknowledging tells whether nothing told to the machine takes effect although it reports.
func (m *Machine) NotAcknowledging() bool { return m.Unacknowledged >= maxUnacknowledged }
