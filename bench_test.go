package cedardoor

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"cedardoor/agent"
	"cedardoor/config"
	"cedardoor/connlimit"
	"cedardoor/fleet"
	"cedardoor/store"
	"cedardoor/wire"

	"github.com/vmihailenco/msgpack/v5"
)

// Benchmarks of what a controller does all day, one thread running as in the
// daemon. They give the account of costs in docs/results.md; what must not grow is
// counted in lean_test.go instead.

const (
	benchMachines = 700
	benchTasks    = 6
)

// single runs a benchmark on one thread, as the daemon does.
func single(b *testing.B) {
	was := runtime.GOMAXPROCS(1)
	b.Cleanup(func() { runtime.GOMAXPROCS(was) })
	b.ReportAllocs()
}

// ledFleet is a leader that trusts machines with tasks on each.
func ledFleet(tb testing.TB, machines, tasks int) (*site, *leader) {
	s, l := adopted(tb, machines, tasks)
	for tally, token := range []uint64{0, l.term.Token, l.term.Token} {
		for i := range machines {
			rep := report(i, tasks, uint64(tally)+1, token)
			if _, ok := l.Heartbeat(rep); !ok {
				tb.Fatal("beat not answered")
			}
		}
	}
	return s, l
}

// body is a report as it comes.
func body(tb testing.TB, report *wire.Heartbeat) []byte {
	raw, err := wire.Marshal(report)
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

type benchSteward struct{ g *leader }

func (s benchSteward) Heartbeat(report *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	return s.g.Heartbeat(report)
}
func (s benchSteward) Leader() string { return "" }

// front serves users and workers on loopback as the daemon does.
func front(tb testing.TB, l *leader, h http.Handler) string {
	ln, err := listen(tb.Context(), "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	limited := connlimit.New(ln, 1000, connlimit.WorkerConnections{Client: l.workers}, l.clock, l.log)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second,
		IdleTimeout: 90 * time.Second, MaxHeaderBytes: 16 << 10, ConnState: limited.ConnState}
	go srv.Serve(limited)
	tb.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// exchange sends requests over one raw connection, so that the client costs little.
type exchange struct {
	c net.Conn
	r *bufio.Reader
}

func dial(tb testing.TB, addr string) *exchange {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { c.Close() })
	return &exchange{c, bufio.NewReader(c)}
}

func (x *exchange) send(tb testing.TB, method, path string, body []byte) {
	req := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n", method, path, len(body))
	if _, err := x.c.Write(append(req, body...)); err != nil {
		tb.Fatal(err)
	}
	length := 0
	for first := true; ; first = false {
		line, err := x.r.ReadSlice('\n')
		if err != nil {
			tb.Fatal(err)
		}
		if first && !bytes.Contains(line, []byte(" 20")) && !bytes.Contains(line, []byte(" 421")) {
			tb.Fatalf("answered %s", line)
		}
		if len(line) <= 2 {
			break
		}
		if v, found := bytes.CutPrefix(line, []byte("Content-Length: ")); found {
			fmt.Sscan(string(v), &length)
		}
	}
	if _, err := x.r.Discard(length); err != nil {
		tb.Fatal(err)
	}
}

// BenchmarkBeat is a report taken in by the leader, decoding included.
func BenchmarkBeat(b *testing.B) {
	for _, c := range []struct {
		name   string
		change bool
	}{{"unchanged", false}, {"changed", true}} {
		b.Run(c.name, func(b *testing.B) {
			_, l := ledFleet(b, benchMachines, benchTasks)
			h := agent.ServeHeartbeat(benchSteward{l}, func() bool { return false })
			var raws [][]byte
			for n := range 2 {
				for i := range benchMachines {
					rep := report(i, benchTasks, 1, l.term.Token)
					if n == 1 && c.change {
						rep.Tasks[0].Status = wire.TaskFlushing
					}
					raws = append(raws, body(b, rep))
				}
			}
			single(b)
			b.ResetTimer()
			for n := range b.N {
				i := n % len(raws)
				setTally(b, raws[i], uint64(n)+100)
				h(&discard{h: http.Header{}}, &http.Request{Method: http.MethodPost, Body: io.NopCloser(bytes.NewReader(raws[i]))})
			}
		})
	}
}

type discard struct{ h http.Header }

func (d *discard) Header() http.Header         { return d.h }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}

// setTally replaces a report's tally in place; it is written with eight bytes.
func setTally(tb testing.TB, raw []byte, tally uint64) {
	at := bytes.Index(raw, []byte("\xa5tally\xcf"))
	if at < 0 {
		tb.Fatalf("no tally in %x", raw)
	}
	for k := range 8 {
		raw[at+7+k] = byte(tally >> (56 - 8*k))
	}
}

// BenchmarkBeatServed is the same over a connection.
func BenchmarkBeatServed(b *testing.B) {
	_, l := ledFleet(b, benchMachines, benchTasks)
	n := l.service(b)
	n.router.Post(wire.PathHeartbeat, agent.ServeHeartbeat(benchSteward{l}, func() bool { return false }))
	addr := front(b, l, n.router)
	raws, conns := make([][]byte, benchMachines), make([]*exchange, benchMachines)
	for i := range raws {
		raws[i] = body(b, report(i, benchTasks, 1, l.term.Token))
		conns[i] = dial(b, addr)
	}
	single(b)
	b.ResetTimer()
	for k := range b.N {
		i := k % benchMachines
		setTally(b, raws[i], uint64(k)+100)
		conns[i].send(b, http.MethodPost, wire.PathHeartbeat, raws[i])
	}
}

// BenchmarkRedirectServed is a heartbeat at a controller that does not lead.
func BenchmarkRedirectServed(b *testing.B) {
	_, l := ledFleet(b, 10, benchTasks)
	h := http.HandlerFunc(agent.ServeHeartbeat(sends{}, func() bool { return false }))
	addr := front(b, l, h)
	x := dial(b, addr)
	raw := body(b, report(1, benchTasks, 1, l.term.Token))
	single(b)
	b.ResetTimer()
	for range b.N {
		x.send(b, http.MethodPost, wire.PathHeartbeat, raw)
	}
}

type sends struct{}

func (sends) Heartbeat(*wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	return wire.HeartbeatResponse{}, false
}
func (sends) Leader() string { return "node-2" }

// service gives a second node of the leader's site that serves users.
func (l *leader) service(tb testing.TB) *Service {
	operator, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	cfg := *l.cfg
	n := newService(&cfg, operator, l.log, l.clock)
	n.current.Store(l)
	return n
}

// BenchmarkPoll is one poll of an unfinished job, alone in its read, over a connection.
func BenchmarkPollServed(b *testing.B) {
	s, l := ledFleet(b, benchMachines, benchTasks)
	n := l.service(b)
	s.submit(n, spec("j-900", nil))
	x := dial(b, front(b, l, n.router))
	single(b)
	b.ResetTimer()
	for range b.N {
		x.send(b, http.MethodGet, wire.PathJobs+"/j-900", nil)
	}
}

// BenchmarkSubmitServed is one submission, alone in its transaction, over a connection.
func BenchmarkSubmitServed(b *testing.B) {
	_, l := ledFleet(b, benchMachines, benchTasks)
	n := l.service(b)
	x := dial(b, front(b, l, n.router))
	single(b)
	b.ResetTimer()
	for k := range b.N {
		x.send(b, http.MethodPost, wire.PathJobs, bodyOf(b, spec(fmt.Sprintf("j-%d", 100000+k), nil), nil))
	}
}

// BenchmarkHealth is a probe of the load balancer.
func BenchmarkHealthServed(b *testing.B) {
	_, l := ledFleet(b, 10, benchTasks)
	n := l.service(b)
	x := dial(b, front(b, l, n.router))
	single(b)
	b.ResetTimer()
	for range b.N {
		x.send(b, http.MethodGet, wire.PathHealth, nil)
	}
}

// BenchmarkStep is a pass of the leader's loop with nothing to do.
func BenchmarkStep(b *testing.B) {
	_, l := ledFleet(b, benchMachines, benchTasks)
	l.pass(b.Context())
	single(b)
	b.ResetTimer()
	for range b.N {
		l.pass(b.Context())
	}
}

// BenchmarkRound is a repair round.
func BenchmarkRound(b *testing.B) {
	_, l := ledFleet(b, benchMachines, benchTasks)
	l.pass(b.Context())
	single(b)
	b.ResetTimer()
	for range b.N {
		l.mu.Lock()
		l.planner.RepairNow()
		l.runPlan(l.clock.Now())
		l.mu.Unlock()
	}
}

// BenchmarkResize is a pass of the fleet's sizing with nothing to rent or return.
func BenchmarkResize(b *testing.B) {
	_, l := ledFleet(b, benchMachines, benchTasks)
	single(b)
	b.ResetTimer()
	for range b.N {
		l.autoscale(b.Context())
	}
}

// BenchmarkList is one reading of the cloud's list, without its request.
func BenchmarkCheckStall(b *testing.B) {
	_, l := ledFleet(b, benchMachines, benchTasks)
	single(b)
	b.ResetTimer()
	for range b.N {
		l.checkPause()
	}
}

// BenchmarkChange is a job that comes with the changes, and a plan that finds no room for it.
func BenchmarkChange(b *testing.B) {
	_, l := ledFleet(b, benchMachines, benchTasks)
	raw, err := wire.Marshal(store.JobRecord{Spec: spec("j-900", func(sp *wire.Spec) { sp.Tasks = 8 })})
	if err != nil {
		b.Fatal(err)
	}
	single(b)
	b.ResetTimer()
	for range b.N {
		l.mu.Lock()
		if err := l.addJob(store.JobKey("j-900"), raw, 1, l.clock.Now()); err != nil {
			b.Fatal(err)
		}
		job := l.jobs.Get("j-900")
		l.jobs.Remove(job)
		l.jobs.Dequeue(job)
		l.mu.Unlock()
	}
}

// BenchmarkTask is a task placed, told, seen running, ended, recorded and
// forgotten, in jobs of 48.
func BenchmarkTask(b *testing.B) {
	s := newSite(b)
	n := s.node(nil)
	l, _ := s.elect(n)
	tallies := make([]uint64, benchMachines)
	heartbeat := func(i int, report *wire.Heartbeat) wire.HeartbeatResponse {
		tallies[i]++
		report.Sequence = tallies[i]
		ans, ok := l.Heartbeat(report)
		if !ok {
			b.Fatal("not answered")
		}
		return ans
	}
	for range 3 {
		for i := range benchMachines {
			heartbeat(i, report(i, 0, 0, l.term.Token))
		}
	}
	single(b)
	b.ResetTimer()
	for k := 0; k < b.N; {
		uid := fmt.Sprintf("j-%d", 1000+k)
		raw, err := wire.Marshal(store.JobRecord{Spec: spec(uid, func(sp *wire.Spec) { sp.Tasks, sp.Priority = 48, "low" })})
		if err != nil {
			b.Fatal(err)
		}
		epoch, err := n.store.Commit(b.Context(), store.Urgent, wire.Txn{Operations: []wire.Operation{{Set: store.JobKey(uid), Value: msgpack.RawMessage(raw)}}})
		if err != nil {
			b.Fatal(err)
		}
		l.mu.Lock()
		if err := l.addJob(store.JobKey(uid), raw, epoch, l.clock.Now()); err != nil {
			b.Fatal(err)
		}
		l.planner.AllowBestEffort(48)
		l.mu.Unlock()
		l.pass(b.Context())
		for round := range 3 {
			l.mu.Lock()
			on := map[int][]wire.TaskReport{}
			l.fleet.EachMachine(func(machine *fleet.Machine) {
				var at int
				fmt.Sscanf(machine.Name, "n-%d", &at)
				machine.EachAllocation(func(bk *fleet.Allocation) {
					st := wire.TaskReport{Task: bk.Task.String(), Attempt: bk.Attempt, Status: wire.TaskRunning}
					if round == 2 {
						st.Status, st.Cause = wire.TaskEnded, wire.CauseDone
					}
					if round > 0 {
						on[at] = append(on[at], st)
					} else {
						on[at] = nil
					}
				})
			})
			l.mu.Unlock()
			for i, list := range on {
				rep := report(i, 0, 0, l.term.Token)
				rep.Tasks = list
				heartbeat(i, rep)
			}
			if round == 2 {
				l.mu.Lock()
				for job := range l.jobs.All() {
					l.writer.MarkDirty(job.UID)
				}
				l.mu.Unlock()
				l.pass(b.Context())
				for i := range on {
					heartbeat(i, report(i, 0, 0, l.term.Token))
				}
			}
			k += 16
		}
	}
}

// BenchmarkConnect is a connection that comes, with one probe, and goes.
func BenchmarkConnect(b *testing.B) {
	_, l := ledFleet(b, 10, benchTasks)
	addr := front(b, l, l.service(b).router)
	single(b)
	b.ResetTimer()
	for range b.N {
		c, err := (&net.Dialer{KeepAlive: -1}).Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		x := &exchange{c, bufio.NewReaderSize(c, 64)}
		x.send(b, http.MethodGet, wire.PathHealth, nil)
		c.Close()
	}
}

// BenchmarkPlanShort is a plan for 60 jobs that find no room.
func BenchmarkPlanShort(b *testing.B) {
	_, l := ledFleet(b, benchMachines, benchTasks)
	l.mu.Lock()
	for k := range 60 {
		sp := spec(fmt.Sprintf("j-%d", 2000+k), func(sp *wire.Spec) { sp.Tasks, sp.Cores, sp.RAM = 8, 3+float64(k%4), 8+float64(k%7) })
		raw, err := wire.Marshal(store.JobRecord{Spec: sp})
		if err != nil {
			b.Fatal(err)
		}
		if err := l.addJob(store.JobKey(sp.UID), raw, 1, l.clock.Now()); err != nil {
			b.Fatal(err)
		}
	}
	l.mu.Unlock()
	single(b)
	b.ResetTimer()
	for range b.N {
		l.mu.Lock()
		l.jobs.SetChanged(true)
		l.runPlan(l.clock.Now())
		l.mu.Unlock()
	}
}

// BenchmarkRefresh is a machine brought into the picture.
func BenchmarkRefresh(b *testing.B) {
	_, l := ledFleet(b, benchMachines, benchTasks)
	l.pass(b.Context())
	machines := l.fleet.Machines()
	single(b)
	b.ResetTimer()
	for k := range b.N {
		l.mu.Lock()
		l.refreshMachine(machines[k%len(machines)], l.clock.Now())
		l.mu.Unlock()
	}
}

// BenchmarkDirectCommand is a command with two tasks to a worker and its report,
// over connections that are kept and over new ones.
func BenchmarkDirectCommand(b *testing.B) {
	for _, c := range []struct{ name, header string }{{"kept", ""}, {"new", "Connection: close\r\n"}} {
		b.Run(c.name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { ln.Close() })
			raw := body(b, report(1, benchTasks, 1, 1))
			answer := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/msgpack\r\n%sContent-Length: %d\r\n\r\n", c.header, len(raw)), raw...)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						r := bufio.NewReader(conn)
						for {
							req, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							io.Copy(io.Discard, req.Body)
							if _, err := conn.Write(answer); err != nil || c.header != "" {
								return
							}
						}
					}()
				}
			}()
			cl := agent.NewClient(64)
			do := wire.CommandRequest{Token: 1, Incarnation: 1}
			for i := range 2 {
				do.Commands = append(do.Commands, wire.Command{Verb: wire.VerbRun, Task: fmt.Sprintf("j-100/%d", i), Attempt: 1})
			}
			single(b)
			b.ResetTimer()
			for range b.N {
				if _, err := cl.SendCommands(b.Context(), ln.Addr().String(), do); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
