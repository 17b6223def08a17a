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

// Client calls the HTTP API of processes with the operator key. A nil HTTP selects
// http.DefaultClient.
type Client struct {
	Key  string
	HTTP *http.Client
}

// ResponseError is an error response of a process.
type ResponseError struct {
	Status int    `json:"Status"`
	Code   string `json:"code"`
	Reason string `json:"reason"`
}

// Error returns the code and the reason.
func (r *ResponseError) Error() string { return r.Code + ": " + r.Reason }

// NewResponseError decodes an error response body. The code is "malformed" if the body has none.
func NewResponseError(status int, raw []byte) error {
	r := &ResponseError{Status: status}
	if json.Unmarshal(raw, r) != nil || r.Code == "" {
		r.Code, r.Reason = "malformed", string(raw)
	}
	return r
}

// ErrUnreachable marks errors of calls that got no response.
var ErrUnreachable = errors.New("no response from this address")

// Do makes one call and decodes a successful response into target, unless it is nil. It returns
// the status and raw body. A status of 400 or above is not an error.
func (c Client) Do(ctx context.Context, method, address, path string, body, target any) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil, errors.Wrap(err, "encoding the request")
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil, errors.Wrap(err, "making the request")
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
		return response.StatusCode, nil, errors.Wrap(err, "reading the response")
	}
	if target != nil && response.StatusCode < http.StatusBadRequest {
		if err := json.Unmarshal(raw, target); err != nil {
			return response.StatusCode, raw, errors.Wrap(err, "decoding the response")
		}
	}
	return response.StatusCode, raw, nil
}

// Found founds a fleet on the cores at the addresses. All must answer, and none may belong to a
// fleet, unless an interrupted founding of the same cores is resumed.
func (c Client) Found(ctx context.Context, fleet string, addresses []string, partitions, groupSize int) (core.Founding, error) {
	var cores []core.Core
	var existing *core.Founding
	addressOf := map[string]string{}
	for _, address := range addresses {
		var identity Identity
		status, raw, err := c.Do(ctx, "GET", address, "/v1/identity", nil, &identity)
		if err != nil {
			return core.Founding{}, errors.Wrapf(err, "core at %s", address)
		}
		if status != http.StatusOK {
			return core.Founding{}, errors.Wrapf(NewResponseError(status, raw), "core at %s", address)
		}
		if _, duplicate := addressOf[identity.Core.ID]; duplicate {
			return core.Founding{}, errors.Newf("two of the addresses belong to a core with the id %s", identity.Core.ID)
		}
		addressOf[identity.Core.ID] = address
		cores = append(cores, identity.Core)
		if identity.Founded {
			founding := identity.Founding
			existing = &founding
		}
	}
	founding := core.FailureDomains{}.PlanFleet(fleet, partitions, groupSize, cores)
	if existing != nil {
		for _, candidate := range cores {
			if existingCore, ok := existing.Cores[candidate.ID]; !ok ||
				existingCore.Incarnation != candidate.Incarnation || len(existing.Cores) != len(cores) {
				return core.Founding{}, errors.Newf("core %s belongs to a fleet that was founded with other cores", candidate.ID)
			}
		}
		founding = *existing
	}
	for _, candidate := range cores {
		status, raw, err := c.Do(ctx, "POST", addressOf[candidate.ID], "/v1/found", founding, nil)
		if err != nil {
			return founding, errors.Wrapf(err, "core %s; run found again with the same cores to resume", candidate.ID)
		}
		if status != http.StatusOK {
			return founding, errors.Wrapf(NewResponseError(status, raw), "core %s", candidate.ID)
		}
	}
	return founding, nil
}

// AddCore adds the core at newCore, whose data folder is empty, to the fleet of the core at
// member.
func (c Client) AddCore(ctx context.Context, member, newCore string) (core.ChangeResult, error) {
	var changed core.ChangeResult
	var identity Identity
	if status, raw, err := c.Do(ctx, "GET", newCore, "/v1/identity", nil, &identity); err != nil {
		return changed, err
	} else if status != http.StatusOK {
		return changed, errors.Wrapf(NewResponseError(status, raw), "core at %s", newCore)
	}
	var topology core.Topology
	if status, raw, err := c.Do(ctx, "GET", member, "/v1/topology", nil, &topology); err != nil {
		return changed, err
	} else if status != http.StatusOK {
		return changed, errors.Wrapf(NewResponseError(status, raw), "core at %s", member)
	}
	if !identity.Founded {
		founding := core.Founding{
			Fleet:      topology.Fleet,
			Partitions: len(topology.Groups),
			Cores:      topology.Cores,
			Groups:     make([]partition.Group, len(topology.Groups)),
		}
		founding.Cores[identity.Core.ID] = identity.Core
		if status, raw, err := c.Do(ctx, "POST", newCore, "/v1/found", founding, nil); err != nil {
			return changed, err
		} else if status != http.StatusOK {
			return changed, errors.Wrapf(NewResponseError(status, raw), "core at %s", newCore)
		}
	}
	return c.Change(ctx, member, CoreChange{Kind: core.KindAdd, ID: identity.Core.ID, New: &identity.Core})
}

// Change requests a change of cores repeatedly until it is done or fails.
func (c Client) Change(ctx context.Context, member string, change CoreChange) (core.ChangeResult, error) {
	for {
		var changed core.ChangeResult
		status, raw, err := c.Do(ctx, "POST", member, "/v1/cores", change, &changed)
		switch {
		case err != nil:
			return changed, err
		case status == http.StatusOK:
			return changed, nil
		case status != http.StatusAccepted:
			return changed, NewResponseError(status, raw)
		}
	}
}

// Plan returns what a change of cores would move, without making it. newCore is the address of
// the core to add, or empty.
func (c Client) Plan(ctx context.Context, member string, change CoreChange, newCore string) (core.ChangeResult, error) {
	var topology core.Topology
	if status, raw, err := c.Do(ctx, "GET", member, "/v1/topology", nil, &topology); err != nil {
		return core.ChangeResult{}, err
	} else if status != http.StatusOK {
		return core.ChangeResult{}, NewResponseError(status, raw)
	}
	if newCore != "" {
		var identity Identity
		if status, raw, err := c.Do(ctx, "GET", newCore, "/v1/identity", nil, &identity); err != nil {
			return core.ChangeResult{}, err
		} else if status != http.StatusOK {
			return core.ChangeResult{}, errors.Wrapf(NewResponseError(status, raw), "core at %s", newCore)
		}
		change.ID, topology.Cores[identity.Core.ID] = identity.Core.ID, identity.Core
	}
	plan := core.FailureDomains{}.PlanChange(topology.Cores, core.Presence{}, topology.Groups, topology.GroupSize, change.Kind, change.ID, change.By)
	if plan.Code != "" {
		return plan, &ResponseError{Code: plan.Code, Reason: plan.Reason}
	}
	return plan, nil
}

const countersTimeout = 2 * time.Second

// NodeCounters reads the counters of members that have not ended, by member id. Members that
// don't answer in time are omitted.
func (c Client) NodeCounters(ctx context.Context, members []core.Member) map[string]map[string]any {
	type result struct {
		id     string
		counts map[string]any
	}
	results, pending := make(chan result), 0
	for _, member := range members {
		if member.Ended {
			continue
		}
		pending++
		go func() {
			r := result{id: member.ID}
			ctx, cancel := context.WithTimeout(ctx, countersTimeout)
			defer cancel()
			if status, _, err := c.Do(ctx, "GET", member.HTTP, "/counters", nil, &r.counts); err != nil || status != http.StatusOK {
				r.counts = nil
			}
			results <- r
		}()
	}
	nodes := map[string]map[string]any{}
	for ; pending > 0; pending-- {
		if r := <-results; r.counts != nil {
			nodes[r.id] = r.counts
		}
	}
	return nodes
}
