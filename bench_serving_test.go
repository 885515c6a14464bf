package cedardoor

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cedardoor/agent"
	"cedardoor/config"
	"cedardoor/connlimit"
	"cedardoor/wire"
)

// serveLimited serves users and workers on loopback as the daemon does, and returns the address.
func serveLimited(tb testing.TB, leader *leader, h http.Handler) string {
	ln, err := listen(tb.Context(), "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	limited := connlimit.New(ln, 1000, connlimit.WorkerConnections{Client: leader.workers}, leader.clock, leader.log)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second,
		IdleTimeout: 90 * time.Second, MaxHeaderBytes: 16 << 10, ConnState: limited.ConnState}
	go func() { _ = srv.Serve(limited) }()
	tb.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// rawConnection sends requests over one raw connection, so that the client costs little.
type rawConnection struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialRaw returns a connection to an address.
func dialRaw(tb testing.TB, addr string) *rawConnection {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { c.Close() })
	return &rawConnection{c, bufio.NewReader(c)}
}

// send sends a request and reads the response.
func (x *rawConnection) send(tb testing.TB, method, path string, body []byte) {
	req := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n", method, path, len(body))
	if _, err := x.conn.Write(append(req, body...)); err != nil {
		tb.Fatal(err)
	}
	length := 0
	for first := true; ; first = false {
		line, err := x.reader.ReadSlice('\n')
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
			if _, err := fmt.Sscan(string(v), &length); err != nil {
				tb.Fatal(err)
			}
		}
	}
	if _, err := x.reader.Discard(length); err != nil {
		tb.Fatal(err)
	}
}

// BenchmarkBeat is a heartbeat that the leader processes, with its decoding.
func BenchmarkBeat(b *testing.B) {
	for _, c := range []struct {
		name   string
		change bool
	}{{"unchanged", false}, {"changed", true}} {
		b.Run(c.name, func(b *testing.B) {
			_, leader := trustedFleet(b, benchMachines, benchTasks)
			h := agent.ServeHeartbeat(benchAgent{leader}, func() bool { return false })
			var raws [][]byte
			for n := range 2 {
				for i := range benchMachines {
					report := fleetReport(i, benchTasks, 1, leader.term.Token)
					if n == 1 && c.change {
						report.Tasks[0].Status = wire.TaskFlushing
					}
					raws = append(raws, encodeReport(b, report))
				}
			}
			useOneThread(b)
			b.ResetTimer()
			for n := range b.N {
				i := n % len(raws)
				setSequence(b, raws[i], uint64(n)+100)
				h(&discardResponse{header: http.Header{}}, &http.Request{Method: http.MethodPost, Body: io.NopCloser(bytes.NewReader(raws[i]))})
			}
		})
	}
}

// discardResponse is a response writer that discards the response.
type discardResponse struct{ header http.Header }

func (d *discardResponse) Header() http.Header { return d.header }

func (d *discardResponse) Write(p []byte) (int, error) { return len(p), nil }

func (d *discardResponse) WriteHeader(int) {}

// setSequence replaces the sequence of an encoded report in place; it takes eight bytes.
func setSequence(tb testing.TB, encoded []byte, sequence uint64) {
	at := bytes.Index(encoded, []byte("\xa5tally\xcf"))
	if at < 0 {
		tb.Fatalf("no sequence in %x", encoded)
	}
	for k := range 8 {
		encoded[at+7+k] = byte(sequence >> (56 - 8*k))
	}
}

// benchAgent passes heartbeats to a leader.
type benchAgent struct{ leader *leader }

func (s benchAgent) Heartbeat(report *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	return s.leader.Heartbeat(report)
}

func (s benchAgent) Leader() string { return "" }

// BenchmarkBeatServed is a heartbeat over a connection.
func BenchmarkBeatServed(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	node := leader.servingNode(b)
	node.router.Post(wire.PathHeartbeat, agent.ServeHeartbeat(benchAgent{leader}, func() bool { return false }))
	addr := serveLimited(b, leader, node.router)
	raws, conns := make([][]byte, benchMachines), make([]*rawConnection, benchMachines)
	for i := range raws {
		raws[i] = encodeReport(b, fleetReport(i, benchTasks, 1, leader.term.Token))
		conns[i] = dialRaw(b, addr)
	}
	useOneThread(b)
	b.ResetTimer()
	for k := range b.N {
		i := k % benchMachines
		setSequence(b, raws[i], uint64(k)+100)
		conns[i].send(b, http.MethodPost, wire.PathHeartbeat, raws[i])
	}
}

// BenchmarkRedirectServed is a heartbeat at a controller that does not lead.
func BenchmarkRedirectServed(b *testing.B) {
	_, leader := trustedFleet(b, 10, benchTasks)
	h := http.HandlerFunc(agent.ServeHeartbeat(redirecting{}, func() bool { return false }))
	addr := serveLimited(b, leader, h)
	connection := dialRaw(b, addr)
	encoded := encodeReport(b, fleetReport(1, benchTasks, 1, leader.term.Token))
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		connection.send(b, http.MethodPost, wire.PathHeartbeat, encoded)
	}
}

// redirecting is a controller that does not lead.
type redirecting struct{}

func (redirecting) Heartbeat(*wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	return wire.HeartbeatResponse{}, false
}

func (redirecting) Leader() string { return "node-2" }

// servingNode returns a second node of the leader's cluster that serves users.
func (l *leader) servingNode(tb testing.TB) *Service {
	operator, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	cfg := *l.cfg
	node := newService(&cfg, operator, l.log, l.clock)
	node.current.Store(l)
	return node
}

// BenchmarkPollServed is one poll of an unfinished job, with a read of its own, over a connection.
func BenchmarkPollServed(b *testing.B) {
	cluster, leader := trustedFleet(b, benchMachines, benchTasks)
	node := leader.servingNode(b)
	cluster.submit(node, jobSpec("j-900", nil))
	connection := dialRaw(b, serveLimited(b, leader, node.router))
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		connection.send(b, http.MethodGet, jobPath("j-900"), nil)
	}
}

// BenchmarkSubmitServed is one submission, with a transaction of its own, over a connection.
func BenchmarkSubmitServed(b *testing.B) {
	_, leader := trustedFleet(b, benchMachines, benchTasks)
	node := leader.servingNode(b)
	connection := dialRaw(b, serveLimited(b, leader, node.router))
	useOneThread(b)
	b.ResetTimer()
	for k := range b.N {
		connection.send(b, http.MethodPost, wire.PathJobs, submissionBody(b, jobSpec(fmt.Sprintf("j-%d", 100000+k), nil), nil))
	}
}

// BenchmarkHealthServed is a probe of the load balancer.
func BenchmarkHealthServed(b *testing.B) {
	_, leader := trustedFleet(b, 10, benchTasks)
	node := leader.servingNode(b)
	connection := dialRaw(b, serveLimited(b, leader, node.router))
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		connection.send(b, http.MethodGet, wire.PathHealth, nil)
	}
}

// BenchmarkConnect is a new connection with one probe.
func BenchmarkConnect(b *testing.B) {
	_, leader := trustedFleet(b, 10, benchTasks)
	addr := serveLimited(b, leader, leader.servingNode(b).router)
	useOneThread(b)
	b.ResetTimer()
	for range b.N {
		c, err := (&net.Dialer{KeepAlive: -1}).Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		connection := &rawConnection{c, bufio.NewReaderSize(c, 64)}
		connection.send(b, http.MethodGet, wire.PathHealth, nil)
		c.Close()
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
			encoded := encodeReport(b, fleetReport(1, benchTasks, 1, 1))
			answer := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/msgpack\r\n%sContent-Length: %d\r\n\r\n", c.header, len(encoded)), encoded...)
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
							if _, err := io.Copy(io.Discard, req.Body); err != nil {
								return
							}
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
			useOneThread(b)
			b.ResetTimer()
			for range b.N {
				if _, err := cl.SendCommands(b.Context(), ln.Addr().String(), do); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// encodeReport returns an encoded report.
func encodeReport(tb testing.TB, report *wire.Heartbeat) []byte {
	encoded, err := wire.Marshal(report)
	if err != nil {
		tb.Fatal(err)
	}
	return encoded
}
