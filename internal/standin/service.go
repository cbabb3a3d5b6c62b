package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/target"
)

// ServiceOptions configures one replica of a simulated plain service.
type ServiceOptions struct {
	// ID, Zone, Region and Service are sent in announcements.
	ID, Zone, Region, Service string
	// AnnounceURLs lists the base URLs of the target listeners of VMs. The
	// service announces itself to each of them.
	AnnounceURLs []string
	// HTTP2 announces support for HTTP/2.
	HTTP2 bool
}

// ServiceFaults configures fault injection in a simulated service. The zero
// value injects none.
type ServiceFaults struct {
	// Status sets the HTTP status of the response; the request is still executed.
	Status int
	// Delay is the time between execution and response.
	Delay time.Duration
	// RespondEarly responds before the rest of the request body has arrived: to the
	// request's headers, with the body "early", or as much of it as CloseAfterBytes.
	RespondEarly bool
	// DropResponse executes the request, then closes the connection without a
	// response.
	DropResponse bool
	// CloseAfterBytes closes the connection after this many bytes of the
	// response body; zero is off.
	CloseAfterBytes int
	// MaxRequests limits the faults to this many requests; zero means all.
	MaxRequests int
}

// Service is a simulated plain service. It echoes the request body and counts
// executions.
type Service struct {
	options     ServiceOptions
	incarnation uint64
	sequence    atomic.Uint64
	blackhole   *BlackholeListener
	server      *http.Server
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup

	mu               sync.Mutex
	faults           ServiceFaults
	requestsSinceSet int
	executionsByKey  map[string]int
	requests         []string
	executions       int
	disconnected     int
}

// StartService starts a service that listens on address and announces itself
// until it is closed.
func StartService(address string, options ServiceOptions) (*Service, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		options:         options,
		incarnation:     uint64(time.Now().UnixMicro()),
		blackhole:       NewBlackholeListener(listener),
		cancel:          cancel,
		executionsByKey: make(map[string]int),
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), Protocols: supportedProtocols()}
	s.goroutines.Go(func() { _ = s.server.Serve(s.blackhole) })
	s.goroutines.Go(func() { s.announceLoop(ctx) })
	return s, nil
}

// Close stops the service immediately and aborts its responses.
func (s *Service) Close() {
	s.cancel()
	_ = s.server.Close()
	s.blackhole.CloseConnections()
	s.goroutines.Wait()
}

// SetFaults replaces the injected faults for new requests.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.requestsSinceSet = 0
}

// BlackholeConnections blackholes the open connections and returns their number.
func (s *Service) BlackholeConnections() int { return s.blackhole.Blackhole() }

// Executions returns the number of executed requests with the given
// Idempotency-Key.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionsByKey[key]
}

// ExecutionCount returns the number of executed requests.
func (s *Service) ExecutionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions
}

// DisconnectedCount returns the number of requests whose caller disconnected
// before the response.
func (s *Service) DisconnectedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnected
}

// RecordedRequests returns the received requests in order: request line,
// headers, trailers and the recorded body.
func (s *Service) RecordedRequests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func (s *Service) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: target.HeartbeatInterval}
	for {
		for _, base := range s.options.AnnounceURLs {
			_ = sendAnnouncement(ctx, client, base, s.announcement())
		}
		if !pause.For(ctx, target.HeartbeatInterval) {
			return
		}
	}
}

func (s *Service) announcement() target.Announcement {
	o := s.options
	return target.Announcement{
		ID:           o.ID,
		Incarnation:  s.incarnation,
		Sequence:     s.sequence.Add(1),
		Kind:         target.KindService,
		Zone:         o.Zone,
		Region:       o.Region,
		URL:          "http://" + s.blackhole.Addr().String(),
		Service:      o.Service,
		Capabilities: target.Capabilities{HTTP2: o.HTTP2},
	}
}

// maxRecordedBody limits the bytes of a request body that are recorded and
// echoed; the rest is only counted.
const maxRecordedBody = 1 << 20

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if s.respondEarly(w) {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRecordedBody))
	if err != nil {
		return
	}
	discarded, _ := io.Copy(io.Discard, r.Body)
	faults := s.execute(r, body)
	if !pause.For(r.Context(), faults.Delay) {
		s.mu.Lock()
		s.disconnected++
		s.mu.Unlock()
		return
	}
	if faults.DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	w.Header().Set("X-Method", r.Method)
	w.Header().Set("X-Bytes", fmt.Sprint(int64(len(body))+discarded))
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
	}
	s.writeResponse(w, body, faults)
}

// respondEarly responds to a request whose body has not been read, if so configured, then
// discards what arrives. The request does not count as executed.
func (s *Service) respondEarly(w http.ResponseWriter) bool {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if !faults.RespondEarly {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	body := "early"
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	if faults.CloseAfterBytes > 0 {
		body = body[:faults.CloseAfterBytes]
	}
	_, _ = io.WriteString(conn, body)
	// A connection that is closed with unread bytes would be reset, and the response lost.
	_, _ = io.Copy(io.Discard, conn)
	return true
}

func (s *Service) writeResponse(w http.ResponseWriter, body []byte, faults ServiceFaults) {
	if faults.CloseAfterBytes == 0 || faults.CloseAfterBytes >= len(body) {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:faults.CloseAfterBytes])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// execute records the request as executed and returns the faults to inject into
// it.
func (s *Service) execute(r *http.Request, body []byte) ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executionsByKey[r.Header.Get("Idempotency-Key")]++
	s.executions++
	s.requests = append(s.requests, fmt.Sprintf("%s %s %v %v %s", r.Method, r.RequestURI, r.Header, r.Trailer, body))
	s.requestsSinceSet++
	if s.faults.MaxRequests > 0 && s.requestsSinceSet > s.faults.MaxRequests {
		return ServiceFaults{}
	}
	return s.faults
}
