package postgres

// Benchmarks of the whole path: driver, server, pool, simulated upstream. Driver and
// simulated upstream run in the same process, so only ratios are meaningful.
//
//	go test -run '^$' -bench Relay -benchtime 1x ./io/postgres
//	go test -run '^$' -bench Idle -benchtime 1x ./io/postgres

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"burdockseam/io/upstreamtest"
)

const (
	// Rounds of direct and relayed load alternate, so that disturbances on the machine
	// affect both.
	rounds    = 5
	roundTime = 400 * time.Millisecond
	// benchPool is the number of upstream connections that the relayed callers share.
	benchPool = 32
)

// loadResult sums up the rounds of one kind of load.
type loadResult struct {
	statements int64
	elapsed    time.Duration
	latency    *hdrhistogram.Histogram // in ns
}

func (l *loadResult) rate() float64 { return float64(l.statements) / l.elapsed.Seconds() }

func newLoadResult() *loadResult {
	return &loadResult{latency: hdrhistogram.New(1000, int64(time.Minute), 3)}
}

// run uses all connections concurrently for one round.
func (l *loadResult) run(b *testing.B, conns []*pgconn.PgConn, do func(*pgconn.PgConn) error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	start := time.Now()
	for _, c := range conns {
		wg.Go(func() {
			h := hdrhistogram.New(1000, int64(time.Minute), 3)
			n := int64(0)
			for before := time.Now(); before.Sub(start) < roundTime; n++ {
				if err := do(c); err != nil {
					b.Error(err)
					return
				}
				now := time.Now()
				// A latency above the histogram's maximum of a minute cannot occur within a round.
				_ = h.RecordValue(int64(now.Sub(before)))
				before = now
			}
			mu.Lock()
			defer mu.Unlock()
			l.statements += n
			l.latency.Merge(h)
		})
	}
	wg.Wait()
	l.elapsed += time.Since(start)
}

func simpleQuery(c *pgconn.PgConn) error {
	_, err := c.Exec(context.Background(), "SELECT v FROM t WHERE k = 'key'").ReadAll()
	return err
}

func preparedQuery(c *pgconn.PgConn) error {
	r := c.ExecPrepared(context.Background(), "s", [][]byte{[]byte("key")}, nil, nil).Read()
	return r.Err
}

// BenchmarkRelay compares relayed load with direct load.
func BenchmarkRelay(b *testing.B) {
	for _, kind := range []struct {
		name string
		do   func(*pgconn.PgConn) error
	}{{"simple", simpleQuery}, {"prepared", preparedQuery}} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("%s/callers=%d", kind.name, callers), func(b *testing.B) { benchRelay(b, callers, kind.do) })
		}
	}
}

func benchRelay(b *testing.B, callers int, do func(*pgconn.PgConn) error) {
	g := upstreamtest.New(upstreamtest.Options{Upstreams: 1, Slots: 64, Connections: 1000})
	defer g.Close()
	f := startServerFor(b, g, g.Primary().Addr(), func(f *fixture) {
		f.handler.quiet = true
		f.handler.pool = newPool(f.loop, f.handler.pool.options, benchPool)
	})
	ctx := context.Background()
	connect := func(url string) (conns []*pgconn.PgConn) {
		for range callers {
			c, err := pgconn.Connect(ctx, url)
			check(b, err)
			b.Cleanup(func() { c.Close(ctx) })
			conns = append(conns, c)
		}
		return conns
	}
	direct := connect("postgres://proxy:secret@" + g.Primary().Addr() + "/db?sslmode=disable")
	relayed := connect(f.url())
	_, err := direct[0].Exec(ctx, "CREATE TABLE t (k text PRIMARY KEY, v text); INSERT INTO t VALUES ('key', 'value')").ReadAll()
	check(b, err)
	for _, c := range append(direct[:callers:callers], relayed...) {
		_, err := c.Prepare(ctx, "s", "SELECT v FROM t WHERE k = $1", nil)
		check(b, err)
	}
	b.ResetTimer()
	for b.Loop() {
		directLoad, relayedLoad := newLoadResult(), newLoadResult()
		for range rounds {
			directLoad.run(b, direct, do)
			relayedLoad.run(b, relayed, do)
		}
		added := func(q float64) float64 {
			return float64(relayedLoad.latency.ValueAtQuantile(q)-directLoad.latency.ValueAtQuantile(q)) / 1000
		}
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(directLoad.rate(), "direct/s")
		b.ReportMetric(relayedLoad.rate(), "relayed/s")
		b.ReportMetric(relayedLoad.rate()/directLoad.rate(), "throughput-ratio")
		b.ReportMetric(float64(directLoad.latency.ValueAtQuantile(50))/1000, "direct-p50-µs")
		b.ReportMetric(added(50), "added-p50-µs")
		b.ReportMetric(float64(relayedLoad.latency.ValueAtQuantile(50))/float64(directLoad.latency.ValueAtQuantile(50)), "p50-ratio")
		b.ReportMetric(float64(relayedLoad.latency.ValueAtQuantile(99))/float64(directLoad.latency.ValueAtQuantile(99)), "p99-ratio")
	}
}

// idleCallers is the number of connections whose memory is measured.
const idleCallers = 5000

// BenchmarkIdle measures the memory of idle callers' connections. The callers' ends are
// bare file descriptors without buffers, so the growth of heap and stacks belongs to the
// proxy. Kernel memory is not counted.
func BenchmarkIdle(b *testing.B) {
	for _, used := range []bool{false, true} {
		b.Run(fmt.Sprintf("used=%v", used), func(b *testing.B) {
			for b.Loop() {
				benchIdle(b, used)
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stacks after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func benchIdle(b *testing.B, used bool) {
	f := startServer(b, func(f *fixture) { f.handler.quiet = true })
	f.checkServes(b)
	addr, err := net.ResolveTCPAddr("tcp4", f.address)
	check(b, err)
	fds := make([]int, idleCallers)
	buf := make([]byte, 4096)
	before := memoryInUse()
	for i := range fds {
		fds[i] = connectIdleCaller(b, addr, buf, used)
	}
	b.ReportMetric(float64(memoryInUse()-before)/idleCallers, "B/caller")
	b.ReportMetric(float64(runtime.NumGoroutine()), "goroutines")
	equal(b, "callers", f.server.Callers() >= idleCallers, true)
	for _, fd := range fds {
		check(b, syscall.Close(fd))
	}
	eventually(b, "callers are gone", func() bool { return f.server.Callers() == 0 })
}

// connectIdleCaller logs in with system calls only and returns the file descriptor.
func connectIdleCaller(b *testing.B, addr *net.TCPAddr, buf []byte, used bool) int {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	check(b, err)
	to := &syscall.SockaddrInet4{Port: addr.Port}
	copy(to.Addr[:], addr.IP.To4())
	check(b, syscall.Connect(fd, to))
	exchangeMessages := func(until byte, messages ...pgproto3.FrontendMessage) {
		out := buf[:0]
		for _, m := range messages {
			out, err = m.Encode(out)
			check(b, err)
		}
		_, err = syscall.Write(fd, out)
		check(b, err)
		n := 0
		for {
			more, err := syscall.Read(fd, buf[n:])
			check(b, err)
			n += more
			for rest := buf[:n]; len(rest) > 4; {
				if rest[0] == until {
					return
				}
				rest = rest[min(len(rest), int(binary.BigEndian.Uint32(rest[1:]))+1):]
			}
		}
	}
	exchangeMessages('R', &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "team", "database": "route"}})
	exchangeMessages(typeReadyForQuery, &pgproto3.PasswordMessage{Password: "key"})
	if used {
		exchangeMessages(typeReadyForQuery, &pgproto3.Parse{Name: "s", Query: "SELECT 'a value'"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	}
	return fd
}
