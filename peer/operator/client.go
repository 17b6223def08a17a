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
type Client struct {
	Key  string
	HTTP *http.Client
}

// Refused is what a process said that did not do what it was asked for.
type ResponseError struct {
	Status int    `json:"Status"`
	Code   string `json:"code"`
	Reason string `json:"reason"`
}

func (r *ResponseError) Error() string { return r.Code + ": " + r.Reason }

// Refusal reads a return that is no success.
func NewResponseError(status int, raw []byte) error {
	r := &ResponseError{Status: status}
	if json.Unmarshal(raw, r) != nil || r.Code == "" {
		r.Code, r.Reason = "malformed", string(raw)
	}
	return r
}

// ErrUnreachable says that an address gave no return.
var ErrUnreachable = errors.New("no return from this address")

// Do makes one call and decodes its return. A status of 400 or above comes
// back with no error, so that the caller can tell what was refused.
func (c Client) Do(ctx context.Context, method, address, path string, body, target any) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil, errors.Wrap(err, "call")
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil, errors.Wrap(err, "call")
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrapf(err, "%s", address), ErrUnreachable)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, nil, errors.Wrap(err, "call")
	}
	if target != nil && response.StatusCode < 400 {
		if err := json.Unmarshal(raw, target); err != nil {
			return response.StatusCode, raw, errors.Wrap(err, "return")
		}
	}
	return response.StatusCode, raw, nil
}

// Found founds a fleet on the cores at the given addresses: all of them must
// answer, and none may belong to a fleet yet, unless an earlier founding of
// the same cores was cut off and is carried on.
func (c Client) Found(ctx context.Context, fleet string, addresses []string, parts, size int) (core.Founding, error) {
	var cores []core.Core
	var existing *core.Founding
	addressOf := map[string]string{}
	for _, address := range addresses {
		var identity Identity
		status, raw, err := c.Do(ctx, "GET", address, "/v1/identity", nil, &identity)
		if err != nil {
			return core.Founding{}, errors.Wrapf(err, "core at %s", address)
		}
		if status != 200 {
			return core.Founding{}, errors.Wrapf(NewResponseError(status, raw), "core at %s", address)
		}
		if _, duplicate := addressOf[identity.Core.ID]; duplicate {
			return core.Founding{}, errors.Newf("two cores are called %s", identity.Core.ID)
		}
		addressOf[identity.Core.ID] = address
		cores = append(cores, identity.Core)
		if identity.Founded {
			founding := identity.Founding
			existing = &founding
		}
	}
	founding := core.Plan(fleet, parts, size, cores)
	if existing != nil {
		for _, one := range cores {
			if named, ok := existing.Cores[one.ID]; !ok || named.Incarnation != one.Incarnation || len(existing.Cores) != len(cores) {
				return core.Founding{}, errors.Newf("core %s: a fleet was founded already, and not with these cores", one.ID)
			}
		}
		founding = *existing
	}
	for _, one := range cores {
		status, raw, err := c.Do(ctx, "POST", addressOf[one.ID], "/v1/found", founding, nil)
		if err != nil {
			return founding, errors.Wrapf(err, "core %s; run found again with the same cores to carry on", one.ID)
		}
		if status != 200 {
			return founding, errors.Wrapf(NewResponseError(status, raw), "core %s", one.ID)
		}
	}
	return founding, nil
}

// AddCore brings a core with an empty folder into a running fleet.
func (c Client) AddCore(ctx context.Context, member, newCore string) (core.Changed, error) {
	var changed core.Changed
	var identity Identity
	if status, raw, err := c.Do(ctx, "GET", newCore, "/v1/identity", nil, &identity); err != nil {
		return changed, err
	} else if status != 200 {
		return changed, errors.Wrapf(NewResponseError(status, raw), "core at %s", newCore)
	}
	var t core.Topology
	if status, raw, err := c.Do(ctx, "GET", member, "/v1/topology", nil, &t); err != nil {
		return changed, err
	} else if status != 200 {
		return changed, errors.Wrapf(NewResponseError(status, raw), "core at %s", member)
	}
	if !identity.Founded {
		f := core.Founding{Fleet: t.Fleet, Parts: len(t.Groups), Cores: t.Cores, Groups: make([]partition.Group, len(t.Groups))}
		f.Cores[identity.Core.ID] = identity.Core
		if status, raw, err := c.Do(ctx, "POST", newCore, "/v1/found", f, nil); err != nil {
			return changed, err
		} else if status != 200 {
			return changed, errors.Wrapf(NewResponseError(status, raw), "core at %s", newCore)
		}
	}
	return c.Change(ctx, member, CoreChange{Kind: core.Add, ID: identity.Core.ID, New: &identity.Core})
}

// Change asks for a change in a core's life until it is done or refused.
func (c Client) Change(ctx context.Context, member string, change CoreChange) (core.Changed, error) {
	for {
		var changed core.Changed
		status, raw, err := c.Do(ctx, "POST", member, "/v1/cores", change, &changed)
		switch {
		case err != nil:
			return changed, err
		case status == 200:
			return changed, nil
		case status != 202:
			return changed, NewResponseError(status, raw)
		}
	}
}

// Plan lists what a change in a core's life would move, and changes nothing. A
// new core is asked who it is at its address.
func (c Client) Plan(ctx context.Context, member string, change CoreChange, newCore string) (core.Changed, error) {
	var t core.Topology
	if status, raw, err := c.Do(ctx, "GET", member, "/v1/topology", nil, &t); err != nil {
		return core.Changed{}, err
	} else if status != 200 {
		return core.Changed{}, NewResponseError(status, raw)
	}
	if newCore != "" {
		var identity Identity
		if status, raw, err := c.Do(ctx, "GET", newCore, "/v1/identity", nil, &identity); err != nil {
			return core.Changed{}, err
		} else if status != 200 {
			return core.Changed{}, errors.Wrapf(NewResponseError(status, raw), "core at %s", newCore)
		}
		change.ID, t.Cores[identity.Core.ID] = identity.Core.ID, identity.Core
	}
	plan := core.PlanChange(t.Cores, nil, t.Groups, t.Size, change.Kind, change.ID, change.By)
	if plan.Code != "" {
		return plan, &ResponseError{Code: plan.Code, Reason: plan.Reason}
	}
	return plan, nil
}

// Nodes asks each living member what it counts and holds; one that gives no
// return has none here.
func (c Client) NodeCounters(ctx context.Context, members []core.Member) map[string]map[string]any {
	type told struct {
		id     string
		counts map[string]any
	}
	results, pending := make(chan told), 0
	for _, member := range members {
		if member.Ended {
			continue
		}
		pending++
		go func() {
			t := told{id: member.ID}
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			if status, _, err := c.Do(ctx, "GET", member.HTTP, "/counters", nil, &t.counts); err != nil || status != 200 {
				t.counts = nil
			}
			results <- t
		}()
	}
	nodes := map[string]map[string]any{}
	for ; pending > 0; pending-- {
		if t := <-results; t.counts != nil {
			nodes[t.id] = t.counts
		}
	}
	return nodes
}
