package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
	statusv1 "github.com/cuminwing/cuminwing/proto/status/v1"
)

// resolveName maps "leader", "old-leader" (the VM that "leader" last resolved to)
// and "other" (a running VM that is not the old leader) to the name of a VM. It
// returns other names unchanged.
func (c *testCluster) resolveName(name string) string {
	switch name {
	case "leader":
		c.waitFor("a leader", func() bool { return c.findLeader() })
		return c.lastLeader
	case "old-leader":
		return c.lastLeader
	case "other":
		for _, n := range c.names {
			if n != c.lastLeader && c.vms[n].node != nil {
				return n
			}
		}
	}
	return name
}

// findLeader queries the status of the running VMs and records the VM that
// reports itself as the leader.
func (c *testCluster) findLeader() bool {
	for _, name := range c.names {
		v := c.vms[name]
		if v.node == nil {
			continue
		}
		client := statusv1.NewStatusServiceProtobufClient("http://"+v.settings.AdminAddress, http.DefaultClient)
		status, err := client.Get(context.Background(), &statusv1.GetRequest{})
		if err == nil && status.GetLeader() == name {
			c.lastLeader = name
			return true
		}
	}
	return false
}

// cmdNotEdited sends an edit and fails if it is accepted: not-edited VM VALUE.
func cmdNotEdited(c *testCluster, args []string) {
	v := c.runningVM(args[0])
	edit := c.newEdit(v, c.parseInt(args[1], 0))
	if edit == nil {
		c.Fatalf("VM %s did not return its configuration", args[0])
	}
	if applyEdit(v, edit) == configv1.Outcome_OUTCOME_ACCEPTED {
		c.Fatalf("edit was accepted, want rejection or no outcome")
	}
}

// cmdRace sends edits from one operator per VM concurrently, crashes the leader
// meanwhile, and checks that every accepted edit is in the history exactly once:
// race EDITS VM..., where EDITS is the number of edits per operator.
func cmdRace(c *testCluster, args []string) {
	count := c.parseInt(args[0], 0)
	var operators sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	var lastErr error
	var vms []*vm
	for _, name := range args[1:] {
		vms = append(vms, c.runningVM(name))
	}
	for operator := range vms {
		// Each operator sends its edits through a different VM first.
		rotated := append(append([]*vm(nil), vms[operator:]...), vms[:operator]...)
		operators.Go(func() {
			for i := range count {
				id, err := c.applyWithRetry(rotated, 1000+100*operator+i)
				mu.Lock()
				if err != nil {
					lastErr = err
				}
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	c.waitFor("more accepted edits than operators", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(accepted) > len(vms)
	})
	cmdCrash(c, []string{"leader"})
	operators.Wait()
	c.Check(lastErr)
	c.checkHistory(accepted)
}

func (c *testCluster) checkHistory(accepted []string) {
	v := c.runningVM(c.resolveName("other"))
	c.waitFor("a history with exactly the accepted edits", func() bool {
		history, err := adminClient(v).History(context.Background(), &adminv1.HistoryRequest{})
		if err != nil {
			return false
		}
		seen := make(map[string]int)
		for _, change := range history.GetChanges() {
			seen[change.GetEdit().GetId()]++
		}
		for _, id := range accepted {
			if seen[id] > 1 {
				c.Fatalf("edit %s was applied %d times", id, seen[id])
			}
			if seen[id] == 0 {
				return false
			}
		}
		// The additional entry is the first configuration.
		return len(seen) == len(accepted)+1
	})
	c.waitFor("the same revision on all running VMs", func() bool {
		revisions := make(map[uint64]bool)
		for _, other := range c.vms {
			if other.node != nil && other.node.Snapshot() != nil {
				revisions[other.node.Snapshot().Revision] = true
			}
		}
		return len(revisions) == 1
	})
}

// floodCallers is the number of concurrent callers of each VM in a flood.
const floodCallers = 8

// cmdFlood sends calls through all VMs for a time and checks that the completed
// calls stay within rate x T + burst tokens: flood DURATION tokens=N. It counts
// generated tokens only, so that rounding cannot exceed the bound.
func cmdFlood(c *testCluster, args []string) {
	duration, err := time.ParseDuration(args[0])
	c.Check(err)
	tokens := c.parseInt(parseOptions(args)["tokens"], 0)
	served := make(map[string]*atomic.Int64)
	var callers sync.WaitGroup
	begin := time.Now()
	for _, v := range c.vms {
		count := new(atomic.Int64)
		served[v.settings.VM] = count
		for caller := range floodCallers {
			callers.Go(func() {
				for i := 0; time.Since(begin) < duration; i++ {
					p := c.startCompletion(fmt.Sprint(v.settings.VM, caller, "-", i), v, tokens, false)
					<-p.done
					if p.result["status"] == "200" {
						count.Add(int64(tokens))
					}
				}
			})
		}
	}
	callers.Wait()
	rate := c.document.Rates["yards"]
	bound := rate.RateTokensPerSecond*time.Since(begin).Seconds() + rate.BurstTokens
	c.checkRateLimit(served, bound)
}

func (c *testCluster) checkRateLimit(served map[string]*atomic.Int64, bound float64) {
	var sum int64
	var parts []string
	for name, count := range served {
		sum += count.Load()
		parts = append(parts, fmt.Sprint(name, "=", count.Load()))
	}
	c.Logf("served %d tokens, limit %.0f; tokens by VM: %s", sum, bound, strings.Join(parts, " "))
	if sum == 0 {
		c.Fatalf("no call completed")
	}
	if float64(sum) > bound {
		c.Fatalf("served %d tokens, want at most %.0f", sum, bound)
	}
}
