package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/standin"
)

const (
	// downFor is how long the killed entries are down, and recovery the deployment's
	// recovery_s.
	downFor  = time.Second
	recovery = 12 * time.Second
	// before and after are the times of traffic before the final fault and after the
	// entries are back.
	before = 12 * time.Second
	after  = 40 * time.Second
	// requestInterval is the time between two requests, and plainEvery the number of streams
	// for each plain request, as on the site.
	requestInterval = 16 * time.Millisecond
	plainEvery      = 7
)

// runForeignRow kills all entries as the final fault, and checks that requests are served
// once the entries have had their time to recover. The disruption is a row of another
// writer in the table of workers, which has fields missing.
func runForeignRow(d *deployment, trouble bool) (bool, error) {
	if err := d.startStore(); err != nil {
		return false, err
	}
	if _, err := newGroup(d); err != nil {
		return false, err
	}
	if _, err := startPlainWorker(d, plainName, "i-7f3a91c2"); err != nil {
		return false, err
	}
	d.configure([]map[string]any{streamRoute, plainRoute("r-fi6y7z5", "/pufi791/", plainName)}, []map[string]any{modelService, plainService(plainName)})
	if err := d.startEntries(4); err != nil {
		return false, err
	}
	t := &traffic{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	done := make(chan struct{})
	go t.run(done)
	time.Sleep(before)
	faultAt := time.Now()
	d.killAll()
	time.Sleep(downFor)
	if err := d.startAll(); err != nil {
		return false, err
	}
	backAt := time.Now()
	if trouble {
		// Nobody listens on this port any more.
		address := fmt.Sprintf("127.0.0.1:%d", standin.FreePorts(1)[0])
		d.store.Put("servers", "i-90d4f1aa", map[string]any{
			"service": "huvo11a", "address": address, "zone": zones[0], "slots": 12, "state": "ready", "size": ranks,
			"group": map[string]any{"name": "g1", "epoch": 1, "rank": 0, "state": "open"},
		})
		d.printf("another writer adds the row i-90d4f1aa without version, sequence, cold_remaining_ms and born")
	}
	time.Sleep(after)
	close(done)
	t.callers.Wait()
	shareBefore, n := t.served(time.Time{}, faultAt)
	d.printf("before the final fault: %.2f of %d requests served", shareBefore, n)
	if shareBefore < 0.9 {
		return false, fmt.Errorf("the deployment does not serve before the final fault")
	}
	shareAfter, n := t.served(backAt.Add(recovery), time.Now())
	d.printf("RECOVER: later than recovery_s after the machines are back: %.2f of %d requests served", shareAfter, n)
	d.printf("entries logged %d times that the group is broken, %d times that an endpoint was ejected", d.countLogged("group of ranks broken"), d.countLogged("endpoint ejected"))
	return shareAfter < 0.25, nil
}

// traffic sends streams and plain requests.
type traffic struct {
	d       *deployment
	client  *http.Client
	callers sync.WaitGroup

	mu   sync.Mutex
	sent []*attempt
}

// run sends requests until done is closed.
func (t *traffic) run(done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(requestInterval):
		}
		a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), sentAt: time.Now()}
		t.mu.Lock()
		t.sent = append(t.sent, a)
		t.mu.Unlock()
		entry := t.d.entries[rand.IntN(len(t.d.entries))]
		t.callers.Go(func() { t.send(a, entry, i%(plainEvery+1) == plainEvery) })
	}
}

// send sends one request and records its answer.
func (t *traffic) send(a *attempt, entry string, plain bool) {
	var answer string
	if plain {
		status, err := get(entry, "/pufi791/"+a.id, a.id)
		answer = fmt.Sprint(status)
		if err != nil {
			answer = "no answer"
		}
	} else {
		answer = stream(t.client, entry, a.id, fmt.Sprintf("5c1e07a2:40,%08x:674", rand.Uint32()))
	}
	t.mu.Lock()
	a.answer = answer
	t.mu.Unlock()
	t.d.printf("client sent %s to %s at %.3f s, plain: %v; answer: %s", a.id, entry, a.sentAt.Sub(t.d.started).Seconds(), plain, answer)
}

// served returns the share of the requests sent in a span that were answered whole.
func (t *traffic) served(from, to time.Time) (float64, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, served := 0, 0
	for _, a := range t.sent {
		if a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		n++
		if a.answer == "200" || a.answer == fmt.Sprintf("200, %d events", events) {
			served++
		}
	}
	return float64(served) / float64(max(1, n)), n
}
