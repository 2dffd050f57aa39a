package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
)

// Guards against a switchover that is started without the shared secret, also if no secret is
// configured, and against a response that does not say why no switchover was started.
func TestSwitchNeedsTheSecret(t *testing.T) {
	for _, c := range []struct {
		name, secret, header string
		err                  error
		code                 int
	}{
		{"right secret", "s3", "Bearer s3", nil, http.StatusAccepted},
		{"no authorization header", "s3", "", nil, http.StatusUnauthorized},
		{"wrong secret", "s3", "Bearer s4", nil, http.StatusUnauthorized},
		{"other authorization scheme", "s3", "Basic s3", nil, http.StatusUnauthorized},
		{"no secret configured", "", "Bearer ", nil, http.StatusUnauthorized},
		{"not the coordinator", "s3", "Bearer s3", fmt.Errorf("x: %w", ErrNotCoordinator), http.StatusMisdirectedRequest},
		{"switchover not possible", "s3", "Bearer s3", errors.New("busy"), http.StatusConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			called := ""
			s, err := Listen(Config{Addr: "127.0.0.1:0", Secret: c.secret, Switch: func(group, upstream string) error {
				called = group + " " + upstream
				return c.err
			}})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(ctx) }()
			req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+"/switch?group=g&upstream=u", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", c.header)
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			if err := res.Body.Close(); err != nil {
				t.Error(err)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
			want := "g u"
			if c.code == http.StatusUnauthorized {
				want = ""
			}
			if res.StatusCode != c.code || called != want {
				t.Errorf("status %d, called %q, want %d and %q", res.StatusCode, called, c.code, want)
			}
		})
	}
}
