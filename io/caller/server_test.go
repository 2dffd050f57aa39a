package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdockseam/core/access"
	"burdockseam/core/call"
)

// wordProtocol is a protocol of single words in lines. A statement is its kind.
type wordProtocol struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (p *wordProtocol) ReadStart() (database, key string, err error) { return "db", "", nil }

func (p *wordProtocol) ReadStatement() (call.Statement, bool, error) {
	line, err := p.reader.ReadString('\n')
	return call.Statement{ID: "id", Kind: call.Kind(strings.TrimSpace(line))}, false, err
}

func (p *wordProtocol) Buffered() bool { return p.reader.Buffered() > 0 }

func (p *wordProtocol) WriteReady() error { return p.write("ready") }

func (p *wordProtocol) WriteRefusal(code call.Code, _ string) error { return p.write(string(code)) }

func (p *wordProtocol) WriteAnswer(a call.Answer) error {
	return p.write(string(a.Code) + "," + string(a.State))
}

func (p *wordProtocol) write(line string) error {
	_, err := fmt.Fprintln(p.conn, line)
	return err
}

// blockingRouter is a router whose statements of the given kind get no answer.
type blockingRouter struct {
	blocked call.Kind
	running chan bool
	release chan bool
}

func (r *blockingRouter) Admit(context.Context, string, string, access.Credential) (access.Grant, call.Reply) {
	return access.Grant{}, call.Reply{}
}

func (r *blockingRouter) CheckAccess(string, access.Credential) call.Code { return call.OK }

func (r *blockingRouter) CheckTransaction(string, *Operation, string, access.Credential) call.Code {
	return call.OK
}

func (r *blockingRouter) Run(_ context.Context, _ *Operation, s call.Statement) call.Reply {
	if s.Kind == r.blocked {
		close(r.running)
		<-r.release
	}
	return call.Reply{Ran: call.RanYes}
}

func (r *blockingRouter) EndTransaction(*Operation) {}

// TestAnswerAtTheEnd guards against a statement that was read and gets no complete answer because
// the server ends while an upstream runs it.
func TestAnswerAtTheEnd(t *testing.T) {
	for _, test := range []struct {
		name       string
		statements []call.Kind // the last one is running at the end
		want       string
	}{
		{"a read", []call.Kind{call.Read}, "aborted,idle"},
		{"a write", []call.Kind{call.Write}, "indoubt,idle"},
		{"a write in a transaction", []call.Kind{call.Begin, call.Write}, "aborted,broken"},
		{"a commit", []call.Kind{call.Begin, call.Read, call.Commit}, "indoubt,idle"},
	} {
		t.Run(test.name, func(t *testing.T) {
			last := test.statements[len(test.statements)-1]
			r := &blockingRouter{blocked: last, running: make(chan bool), release: make(chan bool)}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &Server{
				Listener: l, Router: r, Log: logr.Discard(), Now: time.Now, ConnectionLimit: 10,
				Protocol:    func(c net.Conn) Protocol { return &wordProtocol{c, bufio.NewReader(c)} },
				AwaitConfig: func(context.Context) bool { return true },
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(ctx) }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			wantLine(t, reader, "ready")
			for k, kind := range test.statements {
				fmt.Fprintln(c, kind)
				if k < len(test.statements)-1 {
					wantLine(t, reader, ",active")
				}
			}
			<-r.running
			cancel()
			wantLine(t, reader, test.want)
			close(r.release)
			if line, err := reader.ReadString('\n'); err == nil {
				t.Errorf("%q after the answer, want the end", line)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// wantLine reads a line and checks it.
func wantLine(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	line, err := r.ReadString('\n')
	if line = strings.TrimSpace(line); line != want || err != nil {
		t.Errorf("got %q, %v; want %q", line, err, want)
	}
}
