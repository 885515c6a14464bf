package wire

import "fmt"

const maxMachineNameBytes = 128

// DecodeHeartbeat decodes a worker's report and checks the fields that identify the worker. The list
// of tasks stays encoded in RawTasks, which is a subslice of body; see DecodeTasks.
func DecodeHeartbeat(body []byte) (Heartbeat, error) {
	var h Heartbeat
	err := decodeFields(body, func(d *fieldDecoder, key []byte) error { return h.decodeField(d, key) })
	if err != nil {
		return Heartbeat{}, err
	}
	if h.Machine == "" || len(h.Machine) > maxMachineNameBytes || h.Incarnation == 0 || h.Endpoint == "" || h.MachineType == "" || h.Zone == "" {
		return Heartbeat{}, fmt.Errorf("%w: a report without host, endpoint, build, yard or tenure", ErrMalformed)
	}
	return h, nil
}

func (h *Heartbeat) decodeField(d *fieldDecoder, key []byte) (err error) {
	switch string(key) {
	case "host":
		h.Machine, err = decodeText(d.Decoder)
	case "endpoint":
		h.Endpoint, err = decodeText(d.Decoder)
	case "build":
		h.MachineType, err = decodeText(d.Decoder)
	case "yard":
		h.Zone, err = decodeText(d.Decoder)
	case "loaned":
		h.Preemptible, err = decodeBool(d.Decoder)
	case "tenure":
		h.Incarnation, err = d.DecodeUint64()
	case "tally":
		h.Sequence, err = d.DecodeUint64()
	case "warrant":
		h.Token, err = d.DecodeUint64()
	case "warning_s":
		var warning *float64
		if warning, err = decodeOptionalAmount(d.Decoder); warning != nil {
			h.WarningS = warning
		}
	case "pieces":
		h.RawTasks, err = d.skipRaw()
	default:
		err = d.skip()
	}
	return err
}

// DecodeTasks decodes RawTasks into Tasks. It has no effect on a report without RawTasks, or whose
// tasks are already decoded.
func (h *Heartbeat) DecodeTasks() error {
	if h.Tasks != nil || len(h.RawTasks) == 0 {
		return nil
	}
	var tasks []TaskReport
	if err := Unmarshal(h.RawTasks, &tasks); err != nil {
		return err
	}
	for _, task := range tasks {
		if task.Task == "" {
			return fmt.Errorf("%w: a task without a name", ErrMalformed)
		}
		switch task.Status {
		case TaskFetching, TaskGathering, TaskRunning, TaskFlushing, TaskEnded:
		default:
			return fmt.Errorf("%w: task state %q", ErrMalformed, task.Status)
		}
	}
	h.Tasks = tasks
	return nil
}
