package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/core"
	"saffronfall/rule/partition"
)

// Caller calls processes on behalf of an operator.
type Caller struct {
	Key  string
	HTTP *http.Client
}

// Refused is what a process said that did not do what it was asked for.
type Refused struct {
	Status int    `json:"Status"`
	Code   string `json:"code"`
	Reason string `json:"reason"`
}

func (r *Refused) Error() string { return r.Code + ": " + r.Reason }

// Refusal reads a return that is no success.
func Refusal(status int, raw []byte) error {
	r := &Refused{Status: status}
	if json.Unmarshal(raw, r) != nil || r.Code == "" {
		r.Code, r.Reason = "malformed", string(raw)
	}
	return r
}

// ErrUnreachable says that an address gave no return.
var ErrUnreachable = errors.New("no return from this address")

// Do makes one call and decodes its return. A status of 400 or above comes
// back with no error, so that the caller can tell what was refused.
func (c Caller) Do(ctx context.Context, method, address, path string, body, target any) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil, errors.Wrap(err, "call")
		}
		reader = bytes.NewReader(raw)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil, errors.Wrap(err, "call")
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Content-Type", "application/json")
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	got, err := client.Do(r)
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrapf(err, "%s", address), ErrUnreachable)
	}
	defer got.Body.Close()
	raw, err := io.ReadAll(got.Body)
	if err != nil {
		return got.StatusCode, nil, errors.Wrap(err, "call")
	}
	if target != nil && got.StatusCode < 400 {
		if err := json.Unmarshal(raw, target); err != nil {
			return got.StatusCode, raw, errors.Wrap(err, "return")
		}
	}
	return got.StatusCode, raw, nil
}

// Found founds a fleet on the cores at the given addresses: all of them must
// answer, and none may belong to a fleet yet, unless an earlier founding of
// the same cores was cut off and is carried on.
func (c Caller) Found(ctx context.Context, fleet string, addresses []string, parts, size int) (core.Founding, error) {
	var cores []core.Core
	var begun *core.Founding
	at := map[string]string{}
	for _, address := range addresses {
		var who Identity
		status, raw, err := c.Do(ctx, "GET", address, "/v1/identity", nil, &who)
		if err != nil {
			return core.Founding{}, errors.Wrapf(err, "core at %s", address)
		}
		if status != 200 {
			return core.Founding{}, errors.Wrapf(Refusal(status, raw), "core at %s", address)
		}
		if _, twice := at[who.Core.ID]; twice {
			return core.Founding{}, errors.Newf("two cores are called %s", who.Core.ID)
		}
		at[who.Core.ID] = address
		cores = append(cores, who.Core)
		if who.Founded {
			f := who.Founding
			begun = &f
		}
	}
	f := core.PlanFleet(fleet, parts, size, cores)
	if begun != nil {
		for _, one := range cores {
			if named, ok := begun.Cores[one.ID]; !ok || named.Incarnation != one.Incarnation || len(begun.Cores) != len(cores) {
				return core.Founding{}, errors.Newf("core %s: a fleet was founded already, and not with these cores", one.ID)
			}
		}
		f = *begun
	}
	for _, one := range cores {
		status, raw, err := c.Do(ctx, "POST", at[one.ID], "/v1/found", f, nil)
		if err != nil {
			return f, errors.Wrapf(err, "core %s; run found again with the same cores to carry on", one.ID)
		}
		if status != 200 {
			return f, errors.Wrapf(Refusal(status, raw), "core %s", one.ID)
		}
	}
	return f, nil
}

// AddCore brings a core with an empty folder into a running fleet.
func (c Caller) AddCore(ctx context.Context, any, fresh string) (core.ChangeResult, error) {
	var changed core.ChangeResult
	var who Identity
	if status, raw, err := c.Do(ctx, "GET", fresh, "/v1/identity", nil, &who); err != nil {
		return changed, err
	} else if status != 200 {
		return changed, errors.Wrapf(Refusal(status, raw), "core at %s", fresh)
	}
	var t core.Topology
	if status, raw, err := c.Do(ctx, "GET", any, "/v1/topology", nil, &t); err != nil {
		return changed, err
	} else if status != 200 {
		return changed, errors.Wrapf(Refusal(status, raw), "core at %s", any)
	}
	if !who.Founded {
		f := core.Founding{Fleet: t.Fleet, Partitions: len(t.Groups), Cores: t.Cores, Groups: make([]partition.Group, len(t.Groups))}
		f.Cores[who.Core.ID] = who.Core
		if status, raw, err := c.Do(ctx, "POST", fresh, "/v1/found", f, nil); err != nil {
			return changed, err
		} else if status != 200 {
			return changed, errors.Wrapf(Refusal(status, raw), "core at %s", fresh)
		}
	}
	return c.Change(ctx, any, Life{Kind: core.KindAdd, ID: who.Core.ID, New: &who.Core})
}

// Change asks for a change in a core's life until it is done or refused.
func (c Caller) Change(ctx context.Context, any string, life Life) (core.ChangeResult, error) {
	for {
		var changed core.ChangeResult
		status, raw, err := c.Do(ctx, "POST", any, "/v1/cores", life, &changed)
		switch {
		case err != nil:
			return changed, err
		case status == 200:
			return changed, nil
		case status != 202:
			return changed, Refusal(status, raw)
		}
	}
}

// Plan lists what a change in a core's life would move, and changes nothing. A
// new core is asked who it is at its address.
func (c Caller) Plan(ctx context.Context, any string, life Life, fresh string) (core.ChangeResult, error) {
	var t core.Topology
	if status, raw, err := c.Do(ctx, "GET", any, "/v1/topology", nil, &t); err != nil {
		return core.ChangeResult{}, err
	} else if status != 200 {
		return core.ChangeResult{}, Refusal(status, raw)
	}
	if fresh != "" {
		var who Identity
		if status, raw, err := c.Do(ctx, "GET", fresh, "/v1/identity", nil, &who); err != nil {
			return core.ChangeResult{}, err
		} else if status != 200 {
			return core.ChangeResult{}, errors.Wrapf(Refusal(status, raw), "core at %s", fresh)
		}
		life.ID, t.Cores[who.Core.ID] = who.Core.ID, who.Core
	}
	plan := core.PlanChange(t.Cores, nil, t.Groups, t.GroupSize, life.Kind, life.ID, life.By)
	if plan.Code != "" {
		return plan, &Refused{Code: plan.Code, Reason: plan.Reason}
	}
	return plan, nil
}

// Nodes asks each living member what it counts and holds; one that gives no
// return has none here.
func (c Caller) Nodes(ctx context.Context, members []core.Member) map[string]map[string]any {
	type told struct {
		id     string
		counts map[string]any
	}
	all, asked := make(chan told), 0
	for _, one := range members {
		if one.Ended {
			continue
		}
		asked++
		go func() {
			t := told{id: one.ID}
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			if status, _, err := c.Do(ctx, "GET", one.HTTP, "/counters", nil, &t.counts); err != nil || status != 200 {
				t.counts = nil
			}
			all <- t
		}()
	}
	nodes := map[string]map[string]any{}
	for ; asked > 0; asked-- {
		if t := <-all; t.counts != nil {
			nodes[t.id] = t.counts
		}
	}
	return nodes
}
