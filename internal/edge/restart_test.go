package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Guards against a member of the core that neither works nor ends, because one of its
// ports is in use while the server on the other one keeps the process alive.
func TestCoreEndsIfAPortIsInUse(t *testing.T) {
	for _, port := range []string{"control", "peer"} {
		t.Run(port, func(t *testing.T) {
			host := nextHostAddress()
			s := Settings{
				VM: host, Zone: "z", Region: "r", Regions: map[string]string{"z": "r"}, IP: host,
				ControlAddress: net.JoinHostPort(host, strconv.Itoa(allocatePort(t))), PeerPort: allocatePort(t), FirstStart: true,
				DataFolder: t.TempDir(), Guarantees: testGuarantees(),
			}
			s.Seeds = []string{s.ControlAddress}
			taken := s.ControlAddress
			if port == "peer" {
				taken = s.selfPeerAddress()
			}
			listener, err := net.Listen("tcp", taken)
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			done := make(chan error, 1)
			go func() {
				done <- RunCore(context.Background(), s, CoreOptions{Logger: zap.NewNop(), Decode: decodeJSON, Engines: unreachableEngines{}, Control: noControl})
			}()
			select {
			case err := <-done:
				if err == nil {
					t.Error("the core ended without an error")
				}
			case <-time.After(10 * time.Second):
				t.Error("the core has not ended")
			}
		})
	}
}

// Guards against a member of the core whose log is damaged and that ends at each start,
// so that the core loses its majority at the next failure.
func TestCoreWithADamagedLogJoinsAgain(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, documentWithKey(4, "k1")) })
	damaged := d.cores[2]
	oldID := damaged.core.replica.Status().ID
	d.stopCore(damaged)
	damageLog(t, damaged.settings.DataFolder)
	// The process has the settings of its first start.
	d.startCore(damaged)
	eventually(t, "join", func() error {
		status := damaged.core.replica.Status()
		switch {
		case status.ID == oldID:
			return errors.New("the replica has its previous ID")
		case !status.Members.IsVoter(status.ID) || status.Members.VoterCount() != 3:
			return fmt.Errorf("members are %v", status.Members)
		}
		return nil
	})
	d.stopCore(d.cores[0])
	eventually(t, "read after the stop of another member", func() error {
		stored, err := damaged.core.Document(ctx)
		if err == nil && stored.Version != 4 {
			err = fmt.Errorf("version %d, want 4", stored.Version)
		}
		return err
	})
	if _, err := os.Stat(filepath.Join(damaged.settings.DataFolder, "control.damaged")); err != nil {
		t.Errorf("the damaged log is not kept: %v", err)
	}
}

// damageLog overwrites a part of the first segment, behind which further records follow.
func damageLog(t *testing.T, dataFolder string) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dataFolder, "control", "log-*"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no segments: %v", err)
	}
	file, err := os.OpenFile(names[0], os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	const firstRecord = 24
	if _, err := file.WriteAt([]byte("damaged"), firstRecord); err != nil {
		t.Fatal(err)
	}
}

func noControl(*Core) http.Handler { return http.NotFoundHandler() }
