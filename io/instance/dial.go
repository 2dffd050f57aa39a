package instance

import (
	"context"
	"strconv"

	"burdockseam/io/postgres"
)

// dial opens a connection to the upstream that states the term.
func (g *gateway) dial(ctx context.Context, term uint64) (*pooledConn, error) {
	cfg := g.in.config.Load()
	cred := g.in.settings.Credentials[cfg.Groups[g.group].Credentials]
	client, err := postgres.Dial(ctx, g.in.loop, postgres.ConnectOptions{
		Address: g.address, User: cred.User, Password: cred.Password, Database: cred.Database,
		Parameters: map[string]string{
			"application_name": "burdockseam",
			"group.term":       strconv.FormatUint(term, 10),
		},
	}, g.in.settings.Stall)
	if err != nil {
		return nil, err
	}
	return &pooledConn{Client: client, term: term}, nil
}
