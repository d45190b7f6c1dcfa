package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// firstModel and secondModel are the services of two language models.
	firstModel  = "huvo11a"
	secondModel = "zela27c"
	// firstCount and secondCount are the numbers of their replicas.
	firstCount  = 12
	secondCount = 170
)

// runModel checks ROUTE after a change of the configuration: requests on a route that it adds, for
// a second model, must run at the service of that model. Requests of both routes begin with the
// same shared part.
func runModel(w *world) (bool, error) {
	tenants := map[string][]string{"hule930": {"key-kept"}}
	first := []route{{name: "r-first", prefix: "/lohu930/", kind: "streaming", service: firstModel, timeout: 10 * time.Second, attempts: 1}}
	second := append([]route{{name: "r-second", prefix: "/rika481/", kind: "streaming", service: secondModel, timeout: 10 * time.Second, attempts: 1}}, first...)
	w.store.put("op/config", encodeConfig(3, first, tenants))
	zones := []string{"changwon", "gimhae", "jinju"}
	for i := range firstCount {
		if _, err := w.newReplica(fmt.Sprintf("i-a%d", i), firstModel, zones[i%3]); err != nil {
			return false, err
		}
	}
	for i := range secondCount {
		if _, err := w.newReplica(fmt.Sprintf("i-b%d", i), secondModel, zones[i%3]); err != nil {
			return false, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	if err := w.startEntries(4, func(int) string { return w.store.address }); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, e := range w.entries {
		for _, r := range second {
			clients.Go(func() { w.ask(e, r, stop) })
		}
	}
	begin := w.since(time.Now())
	w.sleepUntil(begin + 5)
	if w.trouble {
		revision, _ := w.store.put("op/config", encodeConfig(5, second, tenants))
		w.note("operator version 5 with the route of the second model acknowledged at revision %d", revision)
	}
	w.sleepUntil(begin + 20)
	close(stop)
	clients.Wait()
	return w.checkModel(), nil
}

// ask sends streaming requests on a route to one entry until stop is closed.
func (w *world) ask(e *entry, r route, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		w.send(client, e, request{method: http.MethodPost, path: r.prefix + "2f", key: "key-kept", body: "{}", stream: true, model: r.service, limit: 10 * time.Second})
	}
}

// checkModel counts the requests on the added route by the service that ran them.
func (w *world) checkModel() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	services := map[string]string{}
	for _, r := range w.replicas {
		services[r.id] = r.service
	}
	sent, wrong, wrongFirst, right := 0, 0, 0, 0
	for _, a := range w.answers {
		want := firstModel
		if strings.HasPrefix(a.path, "/rika481/") {
			want = secondModel
			sent++
		}
		for _, x := range w.runs[a.id] {
			switch {
			case services[x.replica] == want:
				right++
			case want == firstModel:
				wrongFirst++
			default:
				wrong++
				if wrong <= 5 {
					w.noteLocked("check    %s for %s ran at %s, a replica of %s; the client got status %d", a.id, want, x.replica, services[x.replica], a.status)
				}
			}
		}
	}
	w.noteLocked("check    %d of %d requests on the added route ran at the other model's service; %d of the first route did; %d runs at the right one", wrong, sent, wrongFirst, right)
	fmt.Printf("%d of %d requests on the added route ran at the other model's service\n", wrong, sent)
	return wrong+wrongFirst > 0
}
