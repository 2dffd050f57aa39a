package fleet

import (
	"context"
	"os"
	"testing"
	"time"
)

// Guards against lost or doubled bookings and stale reads while a primary is
// partitioned, an instance is killed, and a failure domain is taken out of service and
// put back.
func TestDemo(t *testing.T) {
	f := startFleet(t, Saajghar, Options{ReplicaLag: 5 * time.Millisecond})
	c, err := f.Demo(context.Background(), 8*time.Second, os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", c)
	if c.Violated() {
		t.Errorf("a promise was broken: %+v", c)
	}
	if c.Bookings == 0 || c.Reads == 0 {
		t.Errorf("no bookings or no reads succeeded, so nothing was checked: %+v", c)
	}
}
