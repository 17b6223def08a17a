package coreprocess

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"saffronfall/peer/operator"
	"saffronfall/saffronfall/params"
)

func TestEveryPartitionReportsSharesAndKeys(t *testing.T) {
	text := fmt.Sprintf(`{"id":"c","seeds":[],"fleet_secret":"a secret of some length","folder":%q,"peer_listen":%q,"operator_listen":%q,"operator_key":%q,"strict_invariants":true,"grace_ms":0}`,
		t.TempDir(), ownAddress(7110), ownAddress(7111), operatorKey)
	p, err := params.Read([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, p, make(chan params.Params), logr.Discard()) }()
	client := operator.Client{Key: operatorKey}
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		if _, err := client.Found(ctx, "f", []string{p.OperatorListen}, 4, 1); err == nil {
			break
		} else if ctx.Err() != nil {
			t.Fatal(err)
		}
		<-tick.C
	}
	complete := func() bool {
		var shares operator.SharesReport
		var keys operator.KeysReport
		sharesStatus, _, sharesErr := client.Do(ctx, "GET", p.OperatorListen, "/v1/shares", nil, &shares)
		keysStatus, _, keysErr := client.Do(ctx, "GET", p.OperatorListen, "/v1/keys", nil, &keys)
		return sharesErr == nil && keysErr == nil && sharesStatus == http.StatusOK && keysStatus == http.StatusOK &&
			len(shares.MissingPartitions) == 0 && len(keys.MissingPartitions) == 0
	}
	for !complete() {
		if ctx.Err() != nil {
			t.Fatal("some partition reports no shares or keys")
		}
		<-tick.C
	}
	if status, raw, err := client.Do(ctx, "GET", p.OperatorListen, "/v1/key?tenant=t&key=k", nil, nil); err != nil || status != http.StatusNotFound {
		t.Errorf("a key that was never claimed: status %d, %s, %v", status, raw, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
