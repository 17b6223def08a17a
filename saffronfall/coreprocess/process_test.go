package coreprocess

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"saffronfall/peer/operator"
	"saffronfall/saffronfall/params"
)

// ownAddress returns a loopback address that no other test process uses.
func ownAddress(port int) string {
	return fmt.Sprintf("127.8.%d.%d:%d", os.Getpid()>>8&0xff, os.Getpid()&0xff, port)
}

const operatorKey = "operators of a test"

// TestReloadsWhileWriting lets the race detector find data shared by the core and its writer.
func TestReloadsWhileWriting(t *testing.T) {
	text := fmt.Sprintf(`{"id":"c","seeds":[],"fleet_secret":"a secret of some length","folder":%q,"peer_listen":%q,"operator_listen":%q,"operator_key":%q,"strict_invariants":true,"grace_ms":0}`,
		t.TempDir(), ownAddress(7100), ownAddress(7101), operatorKey)
	p, err := params.Read([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	updates, ended := make(chan params.Params), make(chan error, 1)
	go func() { ended <- Run(ctx, p, updates, logr.Discard()) }()
	founded := make(chan error, 1)
	go func() {
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			_, err := operator.Client{Key: operatorKey}.Found(ctx, "f", []string{p.OperatorListen}, 4, 1)
			if err == nil || ctx.Err() != nil {
				founded <- err
				return
			}
			<-tick.C
		}
	}()
	for done := false; !done; {
		select {
		case updates <- p:
		case err := <-founded:
			if err != nil {
				t.Fatal(err)
			}
			done = true
		case err := <-ended:
			t.Fatal(err)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
