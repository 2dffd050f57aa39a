package fleet

import (
	"context"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"
)

// startFleet starts a deployment for a test and waits until it is ready for callers.
// The environment variable FLEET_LOG turns the logs of the instances on.
func startFleet(t *testing.T, name DeploymentName, o Options) *Fleet {
	t.Helper()
	if os.Getenv("FLEET_LOG") != "" {
		o.Log = logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, nil))
	}
	f, err := Start(context.Background(), Deployments[name], o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return f
}

// connect opens a caller's connection to an instance. The token, if not empty, continues
// an earlier session.
func connect(t *testing.T, f *Fleet, m *Member, team, route, token string) *pgx.Conn {
	t.Helper()
	cfg, err := pgx.ParseConfig(f.URL(m, team, route))
	if err != nil {
		t.Fatal(err)
	}
	cfg.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	if token != "" {
		cfg.RuntimeParams["burdockseam.token"] = token
	}
	c, err := pgx.ConnectConfig(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// The test may have closed the connection already.
		_ = c.Close(context.Background())
	})
	return c
}

// Guards against a session that does not read its own writes after it moved to another
// instance with its token. The replicas lag by 50 ms.
func TestSessionRoams(t *testing.T) {
	f := startFleet(t, Saajghar, Options{ReplicaLag: 50 * time.Millisecond})
	ctx := context.Background()
	members := f.Members()
	route := f.Deployment.Groups[0]
	token := ""
	for i := range 18 {
		c := connect(t, f, members[i%len(members)], "tailors", route, token)
		if i > 0 {
			var holder string
			if err := c.QueryRow(ctx, "SELECT holder FROM bookings WHERE item = $1", itemName(i-1)).Scan(&holder); err != nil {
				t.Fatalf("read %d: %v", i, err)
			}
		}
		if _, err := c.Exec(ctx, "INSERT INTO bookings (item, holder) VALUES ($1, 'a')", itemName(i)); err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
		token = c.PgConn().ParameterStatus("burdockseam.token")
		if token == "" {
			t.Fatal("no token was reported after a write")
		}
	}
}

func itemName(i int) string { return "saree-" + string(rune('a'+i)) }
