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

// resolve turns the names "leader", "old-leader" (the last VM named as leader)
// and "other" (a running VM that is not the old leader) into that of a VM.
func (w *world) resolve(name string) string {
	switch name {
	case "leader":
		w.await("leader", func() bool { return w.findLeader() })
		return w.oldLeader
	case "old-leader":
		return w.oldLeader
	case "other":
		for _, n := range w.names {
			if n != w.oldLeader && w.vms[n].node != nil {
				return n
			}
		}
	}
	return name
}

// findLeader asks the running voters; the leader is the one that names itself.
func (w *world) findLeader() bool {
	for _, name := range w.names {
		v := w.vms[name]
		if v.node == nil {
			continue
		}
		client := statusv1.NewStatusServiceProtobufClient("http://"+v.settings.AdminAddress, http.DefaultClient)
		status, err := client.Get(context.Background(), &statusv1.GetRequest{})
		if err == nil && status.GetLeader() == name {
			w.oldLeader = name
			return true
		}
	}
	return false
}

// cmdNotEdited sends an edit that must not be accepted: not-edited VM VALUE.
func cmdNotEdited(w *world, args []string) {
	v := w.vm(args[0])
	edit := w.newEdit(v, w.number(args[1], 0))
	if edit == nil {
		w.Fatalf("%s does not answer", args[0])
	}
	if apply(v, edit) == configv1.Outcome_OUTCOME_ACCEPTED {
		w.Fatalf("the edit was accepted")
	}
}

// cmdRace lets one operator per VM send edits at the same time while the leader
// crashes, and checks that every accepted edit is in the history exactly once:
// race EDITS VM....
func cmdRace(w *world, args []string) {
	count := w.number(args[0], 0)
	var operators sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	var failed error
	var through []*vm
	for _, name := range args[1:] {
		through = append(through, w.vm(name))
	}
	for o := range through {
		// Each operator starts at another VM.
		own := append(append([]*vm(nil), through[o:]...), through[:o]...)
		operators.Go(func() {
			for i := range count {
				id, err := w.edit(own, 1000+100*o+i)
				mu.Lock()
				if err != nil {
					failed = err
				}
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	w.await("first accepted edits", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(accepted) > len(through)
	})
	cmdCrash(w, []string{"leader"})
	operators.Wait()
	w.Check(failed)
	w.checkHistory(accepted)
}

func (w *world) checkHistory(accepted []string) {
	v := w.vm(w.resolve("other"))
	w.await("history with all edits", func() bool {
		answer, err := admin(v).History(context.Background(), &adminv1.HistoryRequest{})
		if err != nil {
			return false
		}
		seen := make(map[string]int)
		for _, c := range answer.GetChanges() {
			seen[c.GetEdit().GetId()]++
		}
		for _, id := range accepted {
			if seen[id] > 1 {
				w.Fatalf("edit %s was applied %d times", id, seen[id])
			}
			if seen[id] == 0 {
				return false
			}
		}
		// One more is the first document.
		return len(seen) == len(accepted)+1
	})
	w.await("equal revision on all VMs", func() bool {
		revisions := make(map[uint64]bool)
		for _, other := range w.vms {
			if other.node != nil && other.node.Snapshot() != nil {
				revisions[other.node.Snapshot().Revision] = true
			}
		}
		return len(revisions) == 1
	})
}

// floodCallers is the number of concurrent callers of each VM in a flood.
const floodCallers = 8

// cmdFlood sends calls through all VMs for a while and checks that the
// completed ones fit into rate x T + burst: flood DURATION tokens=N. It counts
// the generated tokens only, so that the bound is never exceeded by rounding.
func cmdFlood(w *world, args []string) {
	length, err := time.ParseDuration(args[0])
	w.Check(err)
	tokens := w.number(options(args)["tokens"], 0)
	served := make(map[string]*atomic.Int64)
	var callers sync.WaitGroup
	begin := time.Now()
	for _, v := range w.vms {
		count := new(atomic.Int64)
		served[v.settings.VM] = count
		for c := range floodCallers {
			callers.Go(func() {
				for i := 0; time.Since(begin) < length; i++ {
					p := w.complete(fmt.Sprint(v.settings.VM, c, "-", i), v, tokens, false)
					<-p.done
					if p.answer["status"] == "200" {
						count.Add(int64(tokens))
					}
				}
			})
		}
	}
	callers.Wait()
	rate := w.document.Rates["yards"]
	bound := rate.RateTokensPerSecond*time.Since(begin).Seconds() + rate.BurstTokens
	w.checkBound(served, bound)
}

func (w *world) checkBound(served map[string]*atomic.Int64, bound float64) {
	var sum int64
	var parts []string
	for name, count := range served {
		sum += count.Load()
		parts = append(parts, fmt.Sprint(name, "=", count.Load()))
	}
	w.Logf("served %d tokens, bound %.0f: %s", sum, bound, strings.Join(parts, " "))
	if sum == 0 {
		w.Fatalf("no call was served")
	}
	if float64(sum) > bound {
		w.Fatalf("%d tokens were served, more than %.0f", sum, bound)
	}
}
