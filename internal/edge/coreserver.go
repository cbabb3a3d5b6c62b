package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/httpconn"
	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

// Time limits of the connections to a member of the core. The idle timeout is longer than
// that of peerClient, so that the client ends an idle connection.
const (
	coreHeaderTimeout = 5 * time.Second
	coreIdleTimeout   = time.Minute
)

// coreServer is one of the two HTTP servers of a member of the core.
type coreServer struct {
	http        *http.Server
	listener    net.Listener
	connections *httpconn.Tracker
}

// coreServers are the HTTP servers of a member of the core.
type coreServers struct {
	// peers serves the members of the core and the fronts, control the operators and
	// targets.
	peers, control *coreServer
}

// close closes all connections without a graceful shutdown, so that their clients fail over
// to another member at once.
func (s *coreServers) close() {
	_ = s.peers.http.Close()
	_ = s.control.http.Close()
}

// serve starts the servers.
func (c *Core) serve(control http.Handler) (*coreServers, error) {
	peers, err := c.startServer("peer", c.settings.selfPeerAddress(), c.peerHandler())
	if err != nil {
		return nil, err
	}
	operators, err := c.startServer("control", c.settings.ControlAddress, c.endingWithStop(control))
	if err != nil {
		_ = peers.http.Close()
		return nil, err
	}
	return &coreServers{peers: peers, control: operators}, nil
}

// startServer starts one server. The name is the prefix of its counters.
func (c *Core) startServer(name, address string, handler http.Handler) (*coreServer, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	// A client may keep a connection that it has not used yet.
	limits := httpconn.Limits{Header: coreHeaderTimeout, First: coreIdleTimeout, Idle: coreIdleTimeout, HeadBytes: internalHeadBytes}
	s := &coreServer{listener: listener, connections: &httpconn.Tracker{
		Limits: func() httpconn.Limits { return limits },
		Logger: c.logger, Budget: c.budget.connections, Count: func(event string) { c.counters.Add(name+"_"+event, 1) },
	}}
	s.http = &http.Server{
		Handler: httpconn.LimitBodyWaits(c.bodyWait, handler), ConnState: s.connections.ConnState, MaxHeaderBytes: internalHeadBytes,
		BaseContext: func(net.Listener) context.Context { return c.calls },
	}
	tracked := s.connections.Listen(listener)
	c.startTask(func(context.Context) { serveUntilClosed(c.logger, s.http, tracked) })
	return s, nil
}

// peerHandler returns the handler for the members of the core and the fronts.
func (c *Core) peerHandler() http.Handler {
	calls := http.NewServeMux()
	server := replica.Server{Replica: c.replica}
	logService := raftv1.NewLogServiceServer(server)
	calls.Handle(logService.PathPrefix(), logService)
	c.registerFollow(calls)
	c.registerMembers(calls)
	registerMetrics(calls)
	mux := http.NewServeMux()
	mux.Handle("/", c.endingWithStop(calls))
	// The connections of Raft messages stay open during a stop: a handshake for each message
	// would delay the replication, and a message that is lost is sent again.
	raftService := raftv1.NewRaftServiceServer(server)
	mux.Handle(raftService.PathPrefix(), raftService)
	return mux
}

// endingWithStop returns a handler whose responses end their connections once the member
// stops. A call that waits for its body ends when the calls have to end.
func (c *Core) endingWithStop(next http.Handler) http.Handler {
	last := httpconn.CloseAfterResponse(c.isStopping, next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stop := context.AfterFunc(c.calls, func() {
			// It fails only on a closed connection.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		})
		defer stop()
		last.ServeHTTP(w, r)
	})
}

// drain serves calls until notBefore and until no client opens a connection any more, but
// not into the last serverShutdownTime before end. It then closes the connections. The
// server for peers ends last, because the calls of operators need the control log.
func (s *coreServers) drain(logger *zap.Logger, notBefore, end time.Time) {
	listenCtx, stopListening := context.WithDeadline(context.Background(), end.Add(-serverShutdownTime))
	defer stopListening()
	s.control.connections.AwaitQuiet(listenCtx, notBefore)
	s.control.finish(logger, end.Add(-finalResponseTime/2))
	s.peers.finish(logger, end)
}

// finish ends a server as soon as all its calls are answered, at the latest at end.
func (s *coreServer) finish(logger *zap.Logger, end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := s.connections.Finish(ctx, s.listener); err != nil {
		logger.Warn("shutdown time ended with open connections; closing them", zap.Stringer("address", s.listener.Addr()), zap.Error(err))
	}
	_ = s.http.Close()
}
