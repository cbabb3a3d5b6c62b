package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"go.uber.org/zap"
)

// Guards against a replica that waits for the response of one member before it asks the
// next one. Over links that lose packets this took seconds for each member, while a
// voter was missing.
func TestJoinRequestsDoNotWaitForEachOther(t *testing.T) {
	port := allocatePort(t)
	controlPort := strconv.Itoa(allocatePort(t))
	asked := [2]chan struct{}{make(chan struct{}), make(chan struct{})}
	var seeds []string
	for i := range asked {
		host := nextHostAddress()
		seeds = append(seeds, net.JoinHostPort(host, controlPort))
		listener, err := listen(net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			t.Fatal(err)
		}
		var once sync.Once
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != joinPath {
				http.NotFound(w, r)
				return
			}
			// The server notices the end of the request once its body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			once.Do(func() { close(asked[i]) })
			select {
			case <-asked[1-i]:
				writeJSON(w, joinResponse{})
			case <-r.Context().Done():
				t.Errorf("the request to member %d ended before the other member was asked", i)
			}
		})}
		go server.Serve(listener)
		t.Cleanup(func() { server.Close() })
	}
	host := nextHostAddress()
	s := Settings{
		VM: host, Zone: "z", Region: "r", Regions: map[string]string{"z": "r"}, IP: host,
		ControlAddress: net.JoinHostPort(host, controlPort), PeerPort: port, Seeds: seeds,
		DataFolder: t.TempDir(), Guarantees: testGuarantees(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- RunCore(ctx, s, CoreOptions{Logger: zap.NewNop(), Decode: decodeJSON, Engines: unreachableEngines{}, Control: noControl})
	}()
	<-asked[0]
	<-asked[1]
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
