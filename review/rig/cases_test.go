package rig

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

var cases = map[string]func(*rig){
	"replace": replaceThenLose,
	"writer":  otherWriter,
	"isolate": isolateTenant,
	"twice":   refusalTwice,
}

const (
	keyA = "ka8fexd9dnn2ctnfzs98"
	keyB = "kb9anu6wsjnbanfqasnm"
)

// plenty is a rate that no tenant of a case reaches.
const plenty = 5_000_000

// plainEngines starts three instances of the plain service.
func (r *rig) plainEngines() []*engine {
	var list []*engine
	for i, zone := range zoneNames {
		e := r.newEngine(fmt.Sprintf("i-lager%d", i+1), "lagerbuch", zone, false)
		e.slots, e.queue = 6, 24
		e.start()
		list = append(list, e)
	}
	return list
}

// modelEngines starts engines of the model.
func (r *rig) modelEngines(count int) []*engine {
	var list []*engine
	for i := range count {
		e := r.newEngine(fmt.Sprintf("i-gut%d", i+1), "gutachter", zoneNames[i%len(zoneNames)], true)
		e.start()
		list = append(list, e)
	}
	return list
}

// replaceThenLose replaces a machine of the core as planned. After that another machine
// of the core loses its disk, right after it has acknowledged a configuration.
func replaceThenLose(r *rig) {
	cores, fronts := r.startSystem(2)
	r.putDocument(document(1, []object{tenant("a", keyA, plenty, false)}))
	r.plainEngines()
	look := attempt{path: "/look/x", key: keyA}
	r.awaitServed(fronts, look)
	traffic := r.startTraffic(fronts, 100*time.Millisecond, func(int) attempt { return look })
	time.Sleep(contactTime)

	r.logf("planned work: the new machine of the core starts first")
	successor := r.newCore("core-"+cores[2].zone+"-new", cores[2].zone)
	successor.start(false, r.seeds)
	current := []*node{cores[0], cores[1], cores[2], successor}
	r.setControl(current)
	time.Sleep(catchUpTime + time.Second)
	r.logf("the successor has had %v; SIGTERM to %s, which leaves for good", catchUpTime+time.Second, cores[2].name)
	cores[2].signal(syscall.SIGTERM)
	if !cores[2].awaitExit(gracePeriod) {
		cores[2].signal(syscall.SIGKILL)
		cores[2].awaitExit(time.Second)
	}
	r.logf("%s has exited and is removed", cores[2].name)
	current = []*node{cores[0], cores[1], successor}
	r.setControl(current)
	pause := time.Second
	if text := os.Getenv("PAUSE"); text != "" {
		pause, _ = time.ParseDuration(text)
	}
	time.Sleep(pause)

	lost := cores[0]
	changed := encode(document(2, []object{tenant("a", keyA, plenty, false)}))
	acknowledged := false
	for until := time.Now().Add(5 * time.Second); !acknowledged && time.Now().Before(until); {
		status, _ := call(http.MethodPut, lost.controlAddress(), "/config", changed, time.Second)
		acknowledged = status == http.StatusOK
	}
	if !acknowledged {
		panic("version 2 was not acknowledged before the disruption")
	}
	r.logf("operator: configuration 2 acknowledged by %s", lost.name)
	if r.trouble {
		lost.signal(syscall.SIGKILL)
		lost.awaitExit(2 * time.Second)
		if err := os.RemoveAll(lost.dataDir); err != nil {
			panic(err)
		}
		r.logf("%s goes down and loses its disk", lost.name)
		time.Sleep(2 * time.Second)
		var seeds []string
		for _, n := range current {
			seeds = append(seeds, n.controlAddress())
		}
		lost.start(false, seeds)
	}
	back := time.Now()
	time.Sleep(recoveryTime)
	r.logf("recovery_s has passed since all machines are back; the operator reads the configuration")
	reads, clear := 0, 0
	for until := time.Now().Add(2 * contactTime); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		for _, n := range current {
			status, data := call(http.MethodGet, n.controlAddress(), "/config", nil, 2*time.Second)
			reads++
			if status == http.StatusOK && strings.Contains(string(data), `"version":2`) {
				clear++
			}
			if reads <= 9 {
				r.logf("operator: GET /config at %s: status %d %.80q", n.name, status, data)
			}
		}
	}
	status, data := call(http.MethodPut, successor.controlAddress(), "/config", encode(document(3, []object{tenant("a", keyA, plenty, false)})), 2*time.Second)
	r.logf("operator: configuration 3 sent to %s: status %d %.80q", successor.name, status, data)
	served, all := 0, 0
	for _, a := range traffic.end() {
		if a.sent.After(back.Add(recoveryTime)) {
			all++
			if a.status == http.StatusOK {
				served++
			}
		}
	}
	r.logf("from recovery_s on: %d of %d reads returned version 2; %d of %d requests were served", clear, reads, served, all)
	if clear == 0 {
		r.broken("CONFIG: the configuration that was acknowledged cannot be read back at any node")
	}
	if served*4 < all {
		r.broken("RECOVER: less than a quarter of the requests is served")
	}
}

// otherWriter sends entries without some of the fields, which name an engine of the model
// as an instance of the plain service.
func otherWriter(r *rig) {
	_, fronts := r.startSystem(2)
	r.putDocument(document(1, []object{tenant("a", keyA, plenty, false)}))
	plain := r.plainEngines()
	models := r.modelEngines(3)
	reserve := attempt{path: "/reserve/x", key: keyA, deadline: 3 * time.Second}
	r.awaitServed(fronts, reserve)
	time.Sleep(contactTime)
	traffic := r.startTraffic(fronts, 50*time.Millisecond, func(i int) attempt {
		return attempt{path: fmt.Sprintf("/%s/%d", []string{"reserve", "look"}[i%2], i), key: keyA}
	})
	for range 8 {
		if r.trouble {
			e := models[0]
			e.mu.Lock()
			entry := encode(object{"service": "lagerbuch", "address": e.address, "zone": e.zone, "state": "ready", "born": e.born})
			e.mu.Unlock()
			address := r.controls()[0]
			status, data := call(http.MethodPut, address, "/instances/"+e.id, entry, time.Second)
			r.logf("another writer: PUT /instances/%s at %s with %s: status %d %.80q", e.id, address, entry, status, data)
		}
		time.Sleep(heartbeatTime)
	}
	traffic.end()
	wrong := 0
	for _, run := range allRuns(append(plain, models...)) {
		foreign := run.service != "lagerbuch"
		if foreign {
			wrong++
		}
		if foreign && wrong <= 20 {
			r.logf("request %s %s runs at %s of %s at %.3f s", run.id, run.path, run.engine, run.service, run.at.Sub(r.started).Seconds())
		}
	}
	r.logf("%d requests of the routes to lagerbuch ran at engines of gutachter", wrong)
	if wrong > 0 {
		r.broken("ROUTE: %d requests were run by a service to which no configuration ever sent allows them to go", wrong)
	}
}

// dossierTokens is what a dossier counts: the prompt and the answer.
const dossierTokens = 9190 + 13

// isolateTenant makes a tenant isolated by a change of the configuration.
func isolateTenant(r *rig) {
	_, fronts := r.startSystem(2)
	tenants := func(isolated bool) []object {
		return []object{tenant("a", keyA, plenty, isolated), tenant("b", keyB, plenty, false)}
	}
	// Without the disruption the tenant is isolated from the start.
	r.putDocument(document(1, tenants(!r.trouble)))
	engines := r.modelEngines(3)
	warm := attempt{path: "/grade/warm", key: keyB, usage: "826,13", prefix: "77aa:119,77bb:79,77cc:628", deadline: 5 * time.Second}
	r.awaitServed(fronts, warm)
	time.Sleep(contactTime)
	dossier := func(key string, i int) attempt {
		return attempt{path: fmt.Sprintf("/grade/%d", i), key: key, usage: fmt.Sprintf("%d,13", dossierTokens-13), prefix: fmt.Sprintf("5c1e07a2:2520,91bd3f06:3780,%x:2890", 0xe000+i), deadline: 5 * time.Second}
	}
	for i := range 6 {
		r.logAttempt(r.send(fronts[i%2], dossier(keyA, i)))
	}
	isolatedAt := r.started
	if r.trouble {
		r.putDocument(document(2, tenants(true)))
		isolatedAt = time.Now()
		r.logf("tenant a is isolated now")
	}
	time.Sleep(configApply + time.Second)
	for i := range 12 {
		r.logAttempt(r.send(fronts[i%2], dossier(keyB, 100+i)))
	}
	// An engine keeps the parts of a prompt under the salt, and uses those that it finds.
	type place struct{ engine, salt, part string }
	maker := make(map[place]run)
	foreign := 0
	for _, run := range allRuns(engines) {
		for _, part := range run.parts[:len(run.parts)-1] {
			p := place{run.engine, run.salt, part}
			made, ok := maker[p]
			if !ok {
				maker[p] = run
				continue
			}
			if made.tenant != run.tenant && run.at.After(isolatedAt.Add(configApply)) {
				foreign++
				r.logf("request %s of tenant %s uses part %s at %s under salt %q, made by request %s of tenant %s", run.id, run.tenant, part, run.engine, run.salt, made.id, made.tenant)
			}
		}
	}
	if foreign > 0 {
		r.broken("WALL: %d times a request used KV cache that a request of another tenant made, and one of the two is isolated", foreign)
	}
}

// refusalTwice freezes a front while new weights are loaded. An engine turns away the
// request that waited at the front, as that still names the former weights, and writes this
// refusal once more, late.
func refusalTwice(r *rig) {
	_, fronts := r.startSystem(7)
	r.putDocument(document(1, []object{tenant("a", keyA, plenty, false)}))
	engines := r.modelEngines(2)
	for _, e := range engines {
		e.work = func(*http.Request) time.Duration { return 300 * time.Millisecond }
	}
	warm := attempt{path: "/grade/warm", key: keyA, usage: "826,13", prefix: "77aa:119,77bb:79,77cc:628", deadline: 5 * time.Second}
	r.awaitServed(fronts, warm)
	frozen := fronts[1]
	traffic := r.startTraffic([]*node{fronts[0], fronts[2], fronts[3]}, 20*time.Millisecond, func(i int) attempt {
		return attempt{path: fmt.Sprintf("/grade/other%d", i), key: keyA, usage: "826,13", prefix: fmt.Sprintf("%x:119,%x:79,%x:628", 0x7000+i, 0x8000+i, 0x9000+i), deadline: 5 * time.Second}
	})
	time.Sleep(contactTime)
	for round := 2; round <= 4; round++ {
		dossier := func(name string) attempt {
			return attempt{path: fmt.Sprintf("/grade/%s%d", name, round), key: keyA, usage: fmt.Sprintf("%d,13", dossierTokens-13), prefix: fmt.Sprintf("5c1e07a2:2520,91bd3f06:3780,%x:2890", 0xe000+round), deadline: 5 * time.Second}
		}
		before := r.send(frozen, dossier("before"))
		r.logAttempt(before)
		var served *engine
		for _, e := range engines {
			e.mu.Lock()
			if ran(e.runs, before.id) {
				served = e
			}
			e.mu.Unlock()
		}
		if r.trouble && served != nil {
			served.setFaulty(true)
		}
		if r.trouble {
			r.logf("%s freezes", frozen.name)
			frozen.signal(syscall.SIGSTOP)
		}
		froze := time.Now()
		if !r.callAny(fmt.Sprintf("version %d of m0", round), http.MethodPost, "/version-put", encode(object{"model": "m0", "version": round}), 5*time.Second) {
			panic("the version was not acknowledged")
		}
		time.Sleep(time.Until(froze.Add(2500 * time.Millisecond)))
		answered := make(chan attempt, 1)
		go func() { answered <- r.send(frozen, dossier("after")) }()
		time.Sleep(time.Until(froze.Add(3 * time.Second)))
		if r.trouble {
			r.logf("%s wakes", frozen.name)
			frozen.signal(syscall.SIGCONT)
		}
		r.logAttempt(<-answered)
		if served != nil {
			served.setFaulty(false)
		}
		time.Sleep(2 * time.Second)
	}
	traffic.end()
	count := make(map[string]int)
	for _, run := range allRuns(engines) {
		count[run.id]++
		if count[run.id] > 1 {
			r.broken("TWICE: request %s (%s), which isn't idempotent, ran %d times", run.id, run.path, count[run.id])
		}
	}
	for _, e := range engines {
		r.logf("engine %s gave %d answers, %d of them twice", e.id, e.answers, e.copies)
	}
}

// ran reports whether a request is among the runs.
func ran(runs []run, id string) bool {
	for _, r := range runs {
		if r.id == id {
			return true
		}
	}
	return false
}
