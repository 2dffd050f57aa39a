package upstreamtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// promoteUpstream promotes u at the present end of its log.
func promoteUpstream(t *testing.T, u *Upstream, term uint64) {
	t.Helper()
	c := dial(t, u, "database="+ControlDatabase)
	start := u.Offset()
	if got := query(c, fmt.Sprintf("SELECT * FROM group_promote(%d, %d)", term, start)); got != fmt.Sprintf("primary,%d,%d,%d,", term, term, start+1) {
		t.Fatalf("group_promote returned %s", got)
	}
}

// Guards against a write of the old term that commits or is replicated after the fence,
// and against entries of the old primary that were never replicated but survive when it
// follows the new primary.
func TestPromotionReplacesPrimary(t *testing.T) {
	g := startGroup(t, Options{})
	old, next, third := g.Upstreams()[0], g.Upstreams()[1], g.Upstreams()[2]
	c := dial(t, old, "group.term=1")
	wantResult(t, c, "CREATE TABLE t (k PRIMARY KEY, v)", "CREATE TABLE")
	wantResult(t, c, "INSERT INTO t VALUES ('a', '1')", "INSERT 0 1")
	eventually(t, "replicas have the row", func() bool { return len(next.Rows("t")) == 1 && len(third.Rows("t")) == 1 })
	wantResult(t, dial(t, next), "INSERT INTO t VALUES ('b', '1')", "25006")

	old.PartitionPeers(next, third)
	wantResult(t, c, "INSERT INTO t VALUES ('tail', '1')", "INSERT 0 1")
	wantResult(t, c, "CREATE TABLE tail (k)", "CREATE TABLE")
	tx := dial(t, old, "group.term=1")
	wantResult(t, tx, "BEGIN", "BEGIN")
	wantResult(t, tx, "INSERT INTO t VALUES ('late', '1')", "INSERT 0 1")

	ctl := dial(t, old, "database="+ControlDatabase)
	wantResult(t, ctl, "SELECT * FROM group_fence(2)", "replica,2,1,5,")
	wantResult(t, ctl, "SELECT * FROM group_fence(2)", "replica,2,1,5,")
	wantResult(t, ctl, "SELECT * FROM group_fence(1)", "BS010")
	wantResult(t, tx, "COMMIT", "BS010")
	wantResult(t, c, "INSERT INTO t VALUES ('c', '1')", "BS010")
	wantResult(t, c, "SELECT 1", "BS010")

	promoteUpstream(t, next, 2)
	wantResult(t, dial(t, next, "group.term=2"), "INSERT INTO t VALUES ('new', '2')", "INSERT 0 1")
	old.PartitionPeers()
	history := "'" + next.Addr() + "', '1/0,2/3'"
	wantResult(t, ctl, "SELECT * FROM group_follow(2, "+history+")", "replica,2,1,3,"+next.Addr()+",2")
	wantResult(t, ctl, "SELECT * FROM group_follow(1, "+history+")", "BS010")
	wantResult(t, ctl, "SELECT * FROM group_status(5, 5000)", "replica,2,2,5,"+next.Addr())
	if got := fmt.Sprint(old.Rows("t")); got != "[[a 1] [new 2]]" || old.Rows("tail") != nil {
		t.Errorf("rows of the old primary: t %s, tail %v, want [[a 1] [new 2]] and no table tail", got, old.Rows("tail"))
	}
	if third.Offset() != 3 {
		t.Errorf("replica of term 1 is at offset %d, want 3: it replicated entries of term 2", third.Offset())
	}
}

// Guards against a transaction that survives the promotion of its own upstream to a new
// term, also on a connection without group.term, and against a replica that replicates
// entries of the new term before group_follow.
func TestPromotionOfSamePrimary(t *testing.T) {
	g := startGroup(t, Options{})
	p, replica := g.Upstreams()[0], g.Upstreams()[1]
	tx := dial(t, p)
	wantResult(t, tx, "CREATE TABLE t (k PRIMARY KEY)", "CREATE TABLE")
	wantResult(t, tx, "BEGIN", "BEGIN")
	wantResult(t, tx, "INSERT INTO t VALUES ('a')", "INSERT 0 1")
	eventually(t, "the replica has the table", func() bool { return replica.Offset() == 2 })
	promoteUpstream(t, p, 2)
	wantResult(t, tx, "COMMIT", "BS010")
	wantResult(t, tx, "INSERT INTO t VALUES ('a')", "INSERT 0 1")
	time.Sleep(4 * retryInterval)
	if replica.Offset() != 2 {
		t.Errorf("replica is at %v, want offset 2: it replicated entries of term 2 before group_follow", replica.Status().Log)
	}
	ctl := dial(t, replica, "database="+ControlDatabase)
	wantResult(t, ctl, "SELECT * FROM group_follow(2, '"+p.Addr()+"', '1/0,2/2')", "replica,2,1,2,"+p.Addr()+",0")
	wantResult(t, ctl, "SELECT * FROM group_status(4, 5000)", "replica,2,2,4,"+p.Addr())
}

// Guards against uncommitted writes that other transactions see, and against two
// successful inserts of the same key.
func TestTransactionIsolation(t *testing.T) {
	g := startGroup(t, Options{})
	a, b := dial(t, g.Primary()), dial(t, g.Primary())
	wantResult(t, a, "CREATE TABLE t (k PRIMARY KEY, n)", "CREATE TABLE")
	wantResult(t, a, "INSERT INTO t VALUES ('w', 0), ('x', 0)", "INSERT 0 2")
	wantResult(t, a, "BEGIN", "BEGIN")
	wantResult(t, a, "UPDATE t SET n = n + 1 WHERE k = 'x'", "UPDATE 1")
	wantResult(t, a, "INSERT INTO t VALUES ('y', 0)", "INSERT 0 1")
	wantResult(t, b, "SELECT * FROM t", "w,0;x,0")
	wantResult(t, a, "SELECT * FROM t", "w,0;x,1;y,0")
	results := make(chan string, 1)
	go func() {
		results <- query(b, "BEGIN; UPDATE t SET n = n + 1 WHERE k < 'y'; COMMIT") + query(b, "INSERT INTO t VALUES ('y', 1)")
	}()
	eventually(t, "the update waits for the lock", func() bool { return g.Primary().Stats().Blocked > 0 })
	wantResult(t, a, "COMMIT", "COMMIT")
	if got := <-results; got != "COMMIT23505" {
		t.Errorf("concurrent statements returned %s, want COMMIT23505", got)
	}
	wantResult(t, b, "SELECT * FROM t", "w,1;x,2;y,0")
	wantResult(t, a, "BEGIN", "BEGIN")
	wantResult(t, a, "DELETE FROM t", "DELETE 3")
	wantResult(t, a, "ROLLBACK", "ROLLBACK")
	wantResult(t, a, "SELECT count(*) FROM t", "3")
}

// Guards against a connection over the limit that is accepted, and against control
// connections that the limit refuses.
func TestConnectionLimit(t *testing.T) {
	g := startGroup(t, Options{Connections: 2})
	dial(t, g.Primary())
	c := dial(t, g.Primary())
	if _, err := connect(g.Primary()); sqlState(err) != "53300" {
		t.Errorf("connection over the limit: %v, want SQLSTATE 53300", err)
	}
	dial(t, g.Primary(), "database="+ControlDatabase)
	c.Close(context.Background())
	eventually(t, "the closed connection is free", func() bool { return g.Primary().Stats().Open == 1 })
	dial(t, g.Primary())
	if s := g.Primary().Stats(); s.MaxOpen != 2 || s.Refused != 1 {
		t.Errorf("counters are %+v, want MaxOpen 2 and Refused 1", s)
	}
}

// Guards against a cancel request that does not end the statement or that breaks the
// connection.
func TestCancelRequest(t *testing.T) {
	g := startGroup(t, Options{Slots: 1})
	c := dial(t, g.Primary())
	done := make(chan string, 1)
	go func() { done <- query(c, "SELECT pg_sleep(60)") }()
	eventually(t, "the statement runs", func() bool { return g.Primary().Stats().MaxExecuting == 1 })
	if err := c.CancelRequest(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := <-done; got != "57014" {
		t.Errorf("canceled statement returned %s, want 57014", got)
	}
	wantResult(t, c, "SELECT 1", "1")
}

// Guards against a partition that closes connections or drops requests: a request sent
// during the partition has to run exactly once after it.
func TestPartitionDelaysPackets(t *testing.T) {
	g := startGroup(t, Options{})
	p := g.Primary()
	a, b := dial(t, p, "application_name=a"), dial(t, p, "application_name=b")
	p.Partition(func(c Client) bool { return c.Params["application_name"] == "a" })
	done := make(chan string, 1)
	go func() { done <- query(a, "INSERT INTO t (k) VALUES (1)") }()
	wantResult(t, b, "SELECT 1", "1")
	select {
	case got := <-done:
		t.Fatalf("partitioned client got a response: %s", got)
	case <-time.After(20 * time.Millisecond):
	}
	p.HealPartitions()
	if got := <-done; got != "INSERT 0 1" || len(p.Rows("t")) != 1 {
		t.Errorf("after the partition: response %s, rows %v, want INSERT 0 1 and one row", got, p.Rows("t"))
	}
}

// Other tests rely on the faults that lose or swap responses or refuse connections.
func TestResponseFaults(t *testing.T) {
	g := startGroup(t, Options{})
	p := g.Primary()
	a, b := dial(t, p), dial(t, p)
	p.SwapResponses(1)
	got := make(chan string, 2)
	go func() { got <- "a" + query(a, "SELECT 'a'") }()
	go func() { got <- "b" + query(b, "SELECT 'b'") }()
	if x, y := <-got, <-got; x+y != "abba" && x+y != "baab" {
		t.Errorf("swapped responses: %s and %s, want ab and ba", x, y)
	}
	p.LoseResponses(1, false)
	if got := query(a, "INSERT INTO t (k) VALUES (1)"); got == "INSERT 0 1" || len(p.Rows("t")) != 1 {
		t.Errorf("write with a lost response: response %s, rows %v, want an error and one row", got, p.Rows("t"))
	}
	p.LoseResponses(1, true)
	go func() { got <- query(b, "INSERT INTO t (k) VALUES (2)") }()
	eventually(t, "the silent write took effect", func() bool { return len(p.Rows("t")) == 2 })
	select {
	case response := <-got:
		t.Errorf("muted connection sent the response %s", response)
	case <-time.After(20 * time.Millisecond):
	}
	p.Crash()
	p.Restart()
	<-got
	p.RefuseConnections(true)
	if _, err := connect(p); err == nil {
		t.Error("upstream accepted a connection while it refuses connections")
	}
	p.RefuseConnections(false)
	dial(t, p)
}

// Guards against a crash that keeps open transactions or connections, or that loses log
// entries.
func TestCrashKeepsLog(t *testing.T) {
	g := startGroup(t, Options{})
	p := g.Primary()
	c := dial(t, p)
	wantResult(t, c, "INSERT INTO t (k) VALUES (1)", "INSERT 0 1")
	wantResult(t, c, "BEGIN", "BEGIN")
	wantResult(t, c, "INSERT INTO t (k) VALUES (2)", "INSERT 0 1")
	p.Crash()
	if _, err := connect(p); err == nil {
		t.Error("crashed upstream accepted a connection")
	}
	p.Restart()
	wantResult(t, dial(t, p), "SELECT * FROM t", "1")
}

// The proxy relies on the extended query protocol as pgx uses it, on the group.position
// that precedes CommandComplete, and on errors that skip to the next Sync.
func TestExtendedProtocol(t *testing.T) {
	g := startGroup(t, Options{})
	c := dial(t, g.Primary(), "application_name=team-a")
	ctx := context.Background()
	exec := func(sql string, args ...string) *pgconn.Result {
		var vals [][]byte
		for _, a := range args {
			vals = append(vals, []byte(a))
		}
		return c.ExecParams(ctx, sql, vals, nil, nil, nil).Read()
	}
	if r := exec("INSERT INTO t (k, v) VALUES ($1, $2)", "a", "1"); r.Err != nil || r.CommandTag.String() != "INSERT 0 1" {
		t.Fatalf("insert: %v %s", r.Err, r.CommandTag)
	}
	if got := c.ParameterStatus("group.position"); got != "1/3" {
		t.Errorf("group.position is %q, want 1/3", got)
	}
	if r := exec("SELECT v FROM t WHERE k = $1", "a"); r.Err != nil || len(r.Rows) != 1 || string(r.Rows[0][0]) != "1" {
		t.Errorf("select: %v %q", r.Err, r.Rows)
	}
	if r := exec("SELECT v FROM missing WHERE k = $1", "a"); sqlState(r.Err) != "42P01" {
		t.Errorf("select from a missing table: %v, want SQLSTATE 42P01", r.Err)
	}
	if _, err := c.Prepare(ctx, "s", "SELECT k FROM t WHERE v = $1", nil); err != nil {
		t.Fatal(err)
	}
	if r := c.ExecPrepared(ctx, "s", [][]byte{[]byte("1")}, nil, nil).Read(); r.Err != nil || len(r.Rows) != 1 {
		t.Errorf("prepared: %v %q", r.Err, r.Rows)
	}
	if err := c.Deallocate(ctx, "s"); err != nil {
		t.Errorf("close: %v", err)
	}
	if r := c.ExecPrepared(ctx, "s", [][]byte{[]byte("1")}, nil, nil).Read(); sqlState(r.Err) != "26000" {
		t.Errorf("execution of a closed statement: %v, want SQLSTATE 26000", r.Err)
	}
	if r := exec("SELECT generate_series(1, $1)", "50000"); r.Err != nil || len(r.Rows) != 50000 {
		t.Errorf("generate_series: %v, %d rows, want 50000", r.Err, len(r.Rows))
	}
	if s := g.Primary().Stats(); s.Executions["team-a"] < 4 || s.Params[0]["application_name"] != "team-a" {
		t.Errorf("counters are %+v, want at least 4 executions of team-a and its startup parameters", s)
	}
}

// Guards against messages that run between an error in the extended query protocol and
// the next Sync, and against a wrong transaction status in ReadyForQuery.
func TestErrorSkipsToSync(t *testing.T) {
	g := startGroup(t, Options{})
	c := dial(t, g.Primary())
	h, err := c.Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer h.Conn.Close()
	f := h.Frontend
	execute := func(sql string) {
		f.Send(&pgproto3.Parse{Query: sql})
		f.Send(&pgproto3.Bind{})
		f.Send(&pgproto3.Execute{})
	}
	// syncAndReceive sends the queued messages and a Sync, and returns the types of the
	// responses and the transaction status.
	syncAndReceive := func() (out string) {
		f.Send(&pgproto3.Sync{})
		if err := f.Flush(); err != nil {
			t.Fatal(err)
		}
		for {
			msg, err := f.Receive()
			if err != nil {
				t.Fatal(err)
			}
			switch m := msg.(type) {
			case *pgproto3.ParseComplete, *pgproto3.BindComplete:
			case *pgproto3.ReadyForQuery:
				return out + string(m.TxStatus)
			default:
				out += strings.TrimPrefix(fmt.Sprintf("%T", msg), "*pgproto3.") + " "
			}
		}
	}
	check := func(expected string) {
		t.Helper()
		if got := syncAndReceive(); got != expected {
			t.Errorf("responses %q, want %q", got, expected)
		}
	}
	execute("INSERT INTO t (k) VALUES ('a')")
	execute("SELECT * FROM missing")
	execute("INSERT INTO t (k) VALUES ('b')")
	f.Send(&pgproto3.Query{String: "INSERT INTO t (k) VALUES ('c')"})
	check("ParameterStatus CommandComplete ErrorResponse I")
	execute("BEGIN")
	check("CommandComplete T")
	execute("SELEKT")
	check("ErrorResponse E")
	execute("ROLLBACK")
	execute("SELECT k FROM t")
	check("CommandComplete DataRow CommandComplete I")
	f.Send(&pgproto3.Parse{Query: "SELECT generate_series(1, 3)"})
	f.Send(&pgproto3.Bind{})
	f.Send(&pgproto3.Execute{MaxRows: 2})
	f.Send(&pgproto3.Execute{MaxRows: 2})
	check("DataRow DataRow PortalSuspended DataRow CommandComplete I")
}

// Sessions take the progress of a replica from the position that it reports with a
// read. If that position were missing or the primary's, a later read could return older
// rows.
func TestReplicaReportsOwnPosition(t *testing.T) {
	g := startGroup(t, Options{Lag: time.Hour})
	replica := g.Upstreams()[1]
	w := dial(t, g.Primary())
	wantResult(t, w, "INSERT INTO t (k) VALUES (1)", "INSERT 0 1")
	r := dial(t, replica)
	position := func(want string) {
		t.Helper()
		if query(r, "SELECT 1"); r.ParameterStatus("group.position") != want {
			t.Errorf("position reported by the replica is %q, want %q", r.ParameterStatus("group.position"), want)
		}
	}
	position("0/0")
	replica.SetLag(0)
	eventually(t, "the replica caught up", func() bool { return replica.Offset() == 3 })
	position("1/3")
}

// Guards against an acknowledged increment that is lost or applied twice under random
// faults, and against more executing statements than slots.
func TestIncrementsSurviveFaults(t *testing.T) {
	g := startGroup(t, Options{Slots: 2, ExecTime: time.Millisecond})
	p := g.Primary()
	wantResult(t, dial(t, p), "CREATE TABLE n (k PRIMARY KEY, n)", "CREATE TABLE")
	wantResult(t, dial(t, p), "INSERT INTO n VALUES ('a', 0)", "INSERT 0 1")
	var acknowledged, unknown atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *pgconn.PgConn
			for done := 0; done < 30; {
				if c == nil || c.IsClosed() {
					if c, _ = connect(p); c == nil {
						continue
					}
				}
				switch got := query(c, "BEGIN; UPDATE n SET n = n + 1 WHERE k = 'a'; COMMIT"); {
				case got == "COMMIT":
					acknowledged.Add(1)
					done++
				case len(got) != 5:
					unknown.Add(1)
				}
			}
			c.Close(context.Background())
		}()
	}
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	rng := rand.New(rand.NewPCG(1, 2))
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(5 * time.Millisecond):
			switch rng.IntN(4) {
			case 0:
				p.Crash()
				p.Restart()
			case 1:
				p.Pause()
				p.Resume()
			case 2:
				p.LoseResponses(1, false)
			case 3:
				p.PartitionAll()
				p.HealPartitions()
			}
		}
	}
	n, err := strconv.ParseInt(p.Rows("n")[0][1], 10, 64)
	if err != nil || n < acknowledged.Load() || n > acknowledged.Load()+unknown.Load() {
		t.Errorf("counter is %d, want %d acknowledged and at most %d unknown increments (%v)", n, acknowledged.Load(), unknown.Load(), err)
	}
	if s := p.Stats(); s.MaxExecuting != 2 {
		t.Errorf("at most %d statements executed at the same time, want 2", s.MaxExecuting)
	}
}
