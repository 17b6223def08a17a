package role

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

// AddServer adds a server to a process's group. Its name becomes part of the error of listen, which
// serves until the server is closed. When the group ends, so do the server's connections.
func AddServer(group *run.Group, server *http.Server, listen func(*http.Server) error, name string) {
	ended := make(chan struct{})
	group.Add(func() error {
		if err := listen(server); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, name)
		}
		// After a shutdown, requests under way have until the group ends.
		<-ended
		return nil
	}, func(error) {
		server.Close()
		close(ended)
	})
}
