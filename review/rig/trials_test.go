package rig

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The trials are not cases of the review: REPORT.md says why. To run one from the root of
// the repository: mkdir -p target/trial && target/review-rig NAME target/trial
func init() {
	cases["quota"] = lateRefusal
	cases["late-beat"] = lateHeartbeat
}

// lateHeartbeat lets the only heartbeat of an engine that leaves at once arrive late.
func lateHeartbeat(r *rig) {
	_, fronts := r.startSystem(2)
	r.putDocument(document(1, []object{tenant("a", keyA, plenty, false)}))
	engines := r.plainEngines()
	look := attempt{path: "/look/x", key: keyA}
	r.awaitServed(fronts, look)
	time.Sleep(contactTime + 2*time.Second)
	traffic := r.startTraffic(fronts, 50*time.Millisecond, func(i int) attempt {
		return attempt{path: fmt.Sprintf("/look/%d", i), key: keyA}
	})
	e := r.newEngine("i-lager4", "lagerbuch", zoneNames[0], false)
	e.slots, e.queue = 6, 24
	e.listen()
	engines = append(engines, e)
	body := e.heartbeat()
	deliver := func() {
		address := r.controls()[0]
		status, data := call(http.MethodPut, address, "/instances/"+e.id, body, time.Second)
		r.logf("heartbeat of %s arrives at %s: status %d %.80q", e.id, address, status, data)
	}
	r.logf("%s sends its first heartbeat", e.id)
	if r.trouble {
		time.AfterFunc(4*time.Second, deliver)
	} else {
		deliver()
	}
	time.Sleep(time.Second)
	var gone time.Time
	for gone.IsZero() {
		address := r.controls()[0]
		status, _ := call(http.MethodDelete, address, "/instances/"+e.id, nil, time.Second)
		r.logf("%s leaves: DELETE at %s: status %d", e.id, address, status)
		if status/100 == 2 {
			gone = time.Now()
		}
	}
	time.Sleep(12 * time.Second)
	traffic.end()
	late := 0
	for _, run := range allRuns(engines) {
		if run.engine == e.id && run.at.After(gone.Add(drainTime)) {
			late++
			if late <= 10 {
				r.logf("request %s reaches %s %.3f s after its leave was acknowledged", run.id, run.engine, run.at.Sub(gone).Seconds())
			}
		}
	}
	r.logf("%d requests reached %s later than drain_ms after the acknowledgement", late, e.id)
	if late > 0 {
		r.broken("DRAIN: %d requests reached an engine later than drain_ms after a machine had acknowledged that it is gone", late)
	}
}

// The rate of tenant b, and its limit in a window of the quota.
const (
	smallRate   = 18000
	quotaWindow = 8 * time.Second
	quotaLimit  = (smallRate*8+smallRate)*1.1 + 72000
)

// lateRefusal names new weights while requests of a tenant wait for a slot at the engines.
// The engines turn them away, and the tenant sends as much again, and more.
func lateRefusal(r *rig) {
	_, fronts := r.startSystem(2)
	r.putDocument(document(1, []object{tenant("a", keyA, plenty, false), tenant("b", keyB, smallRate, false)}))
	engines := r.modelEngines(2)
	for _, e := range engines {
		e.work = func(q *http.Request) time.Duration {
			if strings.HasPrefix(q.URL.Path, "/reply/long") {
				return 9 * time.Second
			}
			return 300 * time.Millisecond
		}
	}
	reply := func(name string) attempt {
		return attempt{path: "/reply/" + name, key: keyA, usage: "826,90", prefix: "aa01:119,bb01:79,cc" + name[len(name)-1:] + "0:628", deadline: 15 * time.Second}
	}
	r.awaitServed(fronts, reply("warm1"))
	time.Sleep(2 * contactTime)
	all := make(chan attempt, 1000)
	sent := 0
	send := func(front *node, a attempt) {
		sent++
		go func() { all <- r.send(front, a) }()
	}
	dossier := func(i int) attempt {
		return attempt{path: fmt.Sprintf("/reply/dossier%d", i), key: keyB, usage: fmt.Sprintf("%d,13", dossierTokens-13), prefix: fmt.Sprintf("d1:2520,d2:3780,%x:2890", 0xe000+i), deadline: 15 * time.Second}
	}
	r.logf("tenant a fills the slots of both engines with streams of 9 s")
	for i := range 230 {
		send(fronts[i%2], reply(fmt.Sprintf("long%d", i)))
		time.Sleep(2 * time.Millisecond)
	}
	start := time.Now()
	r.logf("tenant b sends 40 requests, which wait for a slot as far as its quota allows")
	for i := range 40 {
		send(fronts[i%2], dossier(i))
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Until(start.Add(6200 * time.Millisecond)))
	if r.trouble {
		if !r.callAny("version 2 of m0", http.MethodPost, "/version-put", encode(object{"model": "m0", "version": 2}), 5*time.Second) {
			panic("the version was not acknowledged")
		}
	}
	time.Sleep(time.Until(start.Add(10200 * time.Millisecond)))
	r.logf("tenant b sends 120 more requests within 3 s")
	for i := range 120 {
		send(fronts[i%2], dossier(100+i))
		time.Sleep(25 * time.Millisecond)
	}
	statuses := make(map[string]int)
	sentAt := make(map[string]time.Time)
	for range sent {
		a := <-all
		sentAt[a.id] = a.sent
		r.logAttempt(a)
		if a.key == keyB {
			statuses[fmt.Sprint(a.status)]++
		}
	}
	r.logf("answers to tenant b by status: %v", statuses)
	runs := allRuns(engines)
	worst, worstAt, count := 0, time.Time{}, 0
	for _, first := range runs {
		from := first.at
		if s, ok := sentAt[first.id]; ok {
			from = s
		}
		sum, n := 0, 0
		for _, run := range runs {
			s, ok := sentAt[run.id]
			if ok && run.tenant == "b" && !s.Before(from) && run.at.Before(from.Add(quotaWindow)) {
				sum += run.tokens
				n++
			}
		}
		if sum > worst {
			worst, worstAt, count = sum, from, n
		}
	}
	r.logf("tenant b: most tokens that were sent and ran within 8 s: %d in %d requests, from %.3f s on; the rule allows %.0f", worst, count, worstAt.Sub(r.started).Seconds(), quotaLimit)
	if float64(worst) > quotaLimit {
		r.broken("QUOTA: %d tokens of tenant b ran within 8 s, %.0f are allowed", worst, quotaLimit)
	}
}
