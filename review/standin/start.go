package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	killAfter    = 600 * time.Millisecond // after the first start
	restartDelay = 300 * time.Millisecond
	calm         = 20 * time.Second // from the start to the closing fault
	down         = time.Second
	recovery     = 12 * time.Second // recoveryS
	readFor      = 8 * time.Second  // over contactMs
	newest       = 9
	keyOfFirst   = "3fexd9dnn2ctnfzs989a"
	keyOfSecond  = "j3nr26tta828m82thhkm"
)

// playStart starts a fleet of three storage machines for the first time. One storage process is killed
// before the first second is over, and started again. Twenty seconds later, right after a configuration
// was acknowledged, another storage machine loses its disk.
func playStart(f *fleet, killed, wiped bool) int {
	if err := f.startAll(); err != nil {
		f.record.log("a process did not start: %v", err)
		return 2
	}
	started := time.Now()
	time.Sleep(killAfter)
	// Whatever starts from now on is no first start.
	if err := f.writeSettings(false); err != nil {
		return 2
	}
	if victim := f.cores[1]; killed {
		f.kill(victim)
		time.Sleep(restartDelay)
		if err := f.start(victim); err != nil {
			return 2
		}
	}
	if !f.replaceConfiguration(0, turnsConfiguration(4, []string{keyOfFirst}, []string{keyOfSecond}), 20*time.Second) {
		return 2
	}
	for i := 0; i < 2; i++ {
		r, err := startReplica(f, fmt.Sprintf("i-review%d", i), "model", fmt.Sprintf("%s.%d", f.prefix, 5+i), eventsPerTurn)
		if err != nil {
			return 2
		}
		defer close(r.stop)
	}
	for _, node := range f.nodes {
		if !f.waitReady(node, 20*time.Second) {
			f.record.log("%s is not ready", node.name)
			return 2
		}
	}
	load := startLoad(f)
	defer load.stop()
	time.Sleep(time.Until(started.Add(calm)))
	if !f.replaceConfiguration(4, turnsConfiguration(newest, []string{keyOfFirst}, []string{keyOfSecond}), 4*time.Second) {
		return 2
	}
	closed := time.Now()
	if lost := f.cores[0]; wiped {
		f.kill(lost)
		os.RemoveAll(lost.dataDir)
		os.MkdirAll(lost.dataDir, 0o700)
		f.record.log("%s lost its disk", lost.name)
		time.Sleep(down)
		if err := f.start(lost); err != nil {
			return 2
		}
	}
	return judgeStart(f, load, closed, time.Now())
}

// judgeStart judges CONFIG and RECOVER after a closing fault; all machines are back.
func judgeStart(f *fleet, load *load, closed, back time.Time) int {
	time.Sleep(time.Until(back.Add(recovery)))
	status, text := f.operator("GET", "/v1/configuration/read", nil, nil, readFor)
	var read struct{ Revision int }
	json.Unmarshal(text, &read)
	time.Sleep(time.Until(back.Add(recovery + readFor)))
	load.stop()
	served, sent := load.count(time.Time{}, closed)
	servedAfter, sentAfter := load.count(back.Add(recovery), time.Now())
	f.record.log("before the closing fault %d of %d requests were served, from %v after the machines were back on %d of %d",
		served, sent, recovery, servedAfter, sentAfter)
	if 4*served < sent {
		return 2
	}
	broken := 0
	if 4*servedAfter < sentAfter {
		f.record.log("RECOVER is broken")
		broken = 1
	}
	if status != 200 || read.Revision != newest {
		f.record.log("CONFIG is broken: version %d was acknowledged, and read back comes %d with version %d", newest, status, read.Revision)
		broken = 1
	}
	return broken
}

// load is a steady row of requests, five a second, each to the next node.
type load struct {
	mu      sync.Mutex
	results []result
	once    sync.Once
	done    chan struct{}
	running sync.WaitGroup
}

type result struct {
	sent   time.Time
	served bool
}

func startLoad(f *fleet) *load {
	l := &load{done: make(chan struct{})}
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		for n := 0; ; n++ {
			select {
			case <-l.done:
				return
			case <-time.After(200 * time.Millisecond):
			}
			l.running.Add(1)
			go func() {
				defer l.running.Done()
				l.request(f, n)
			}()
		}
	}()
	return l
}

// request sends one turn of a program of its own.
func (l *load) request(f *fleet, n int) {
	at := time.Now()
	attempt := fmt.Sprintf("%08x%08x", at.UnixNano()&0xffffffff, n)
	node := f.nodes[n%len(f.nodes)]
	status, tokens, whole := turn(f, node, fmt.Sprintf("program-%d", n), fmt.Sprintf("session-%d", n), attempt, keyOfFirst, 0)
	f.record.log("client: %s at %s -> %d, %d tokens, whole %v", attempt, node.name, status, tokens, whole)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result{sent: at, served: status == 200 && whole && tokens == turnTokens})
}

// stop ends the row and waits for the answers.
func (l *load) stop() {
	l.once.Do(func() { close(l.done) })
	l.running.Wait()
}

// count returns how many of the requests sent in a span were served, and how many were sent.
func (l *load) count(from, to time.Time) (served, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.results {
		if r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return served, sent
}
