package edge

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/fleetsync"
	"github.com/cuminwing/cuminwing/internal/gateway"
)

func documentWithStores(version uint64, addresses ...string) []byte {
	d := &gateway.Document{
		Version:  version,
		Services: []gateway.Service{{Name: "s", Engine: &gateway.EngineLimits{CacheTokens: 1000, TokenBytes: 1000}}},
	}
	for _, address := range addresses {
		d.Services = append(d.Services, gateway.Service{
			Name: "store " + address, Store: &gateway.Store{Address: address, Zone: "z", Tokens: 1000, Rate: 1e9},
		})
	}
	raw, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return raw
}

// Guards against fronts that keep sending engines to a store that is lost: each
// request waited for some hundred milliseconds.
func TestALostStoreIsToldToFronts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := listener.Addr().String()
	d := newDeployment(t, 1)
	core := d.cores[0].core
	eventually(t, "document", func() error {
		return core.PutDocument(context.Background(), documentWithStores(1, store))
	})
	lost := func(known []string) ([]string, error) {
		answer, err := core.sync(context.Background(), 0, fleetsync.Request{VM: "f", Document: 1, StoresLost: known})
		return answer.StoresLost, err
	}
	if got, err := lost(nil); err != nil || len(got) != 0 {
		t.Fatalf("stores %v are lost: %v", got, err)
	}
	_ = listener.Close()
	want := func(want, known []string) func() error {
		return func() error {
			got, err := lost(known)
			if err == nil && !slices.Equal(got, want) {
				err = errors.New("not told yet")
			}
			return err
		}
	}
	eventually(t, "loss", want([]string{store}, nil))
	if listener, err = net.Listen("tcp", store); err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	eventually(t, "return", want(nil, []string{store}))
}

// Guards against one lost packet that makes a front forget what a store holds.
func TestOneMissDoesNotLoseAStore(t *testing.T) {
	w := newStoreWatch()
	if w.note("a", false) || len(w.lost()) != 0 {
		t.Error("a store is lost after one miss")
	}
	if w.note("a", true) {
		t.Error("a store that was not lost is regained")
	}
	w.note("a", false)
	if !w.note("a", false) || !slices.Equal(w.lost(), []string{"a"}) {
		t.Errorf("lost are %v, want a", w.lost())
	}
	if !w.note("a", true) || len(w.lost()) != 0 {
		t.Errorf("lost are %v after a success", w.lost())
	}
}

// Guards against a front that does not follow what the leader says of stores.
func TestAFrontLeavesOutLostStores(t *testing.T) {
	s := Settings{VM: "f", Region: "r", Regions: map[string]string{"z": "r"}, Bounds: testBounds()}
	f := newFront(s, FrontOptions{Logger: zap.NewNop(), Decode: decodeJSON})
	f.take(time.Second, fleetsync.Response{Self: true, Document: 1, Raw: documentWithStores(1, "10.0.0.1:1", "10.0.0.2:1")})
	f.take(2*time.Second, fleetsync.Response{Self: true, Document: 1, StoresLost: []string{"10.0.0.1:1"}})
	table := f.state.Load().Table
	if list := f.stores(table); len(list) != 1 || list[0].Address != "10.0.0.2:1" {
		t.Errorf("stores in use are %v", list)
	}
	f.take(3*time.Second, fleetsync.Response{Self: true, Document: 1})
	if list := f.stores(table); len(list) != 2 {
		t.Errorf("stores in use are %v after both are back", list)
	}
}
