package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"saffronfall/rule/configuration"
	"saffronfall/rule/route"
)

// tableOperator applies routing tables. It is used by one goroutine at a time.
type tableOperator struct {
	fleet *Fleet
	// known is the newest table acknowledged or read, number the highest number used.
	known  uint64
	number uint64
}

func newRoute(kind, mode, service string, tries int64) route.Route {
	return route.Route{
		Name:        kind,
		Host:        requestHost,
		Prefix:      "/" + kind + "/",
		Mode:        mode,
		TimeoutMS:   float64(routeTimeout.Milliseconds()),
		MaxAttempts: tries,
		KeepSeconds: 60,
		Targets:     []route.Target{{Service: service, Weight: 1}},
	}
}

func routeName(number uint64) string { return fmt.Sprint("mark-", number) }

// numberedRoute is the route that only the table with this number has.
func numberedRoute(number uint64) route.Route {
	return newRoute(routeName(number), route.Repeatable, serviceApp, 2)
}

// tablesBetweenMoves is how many numbers of tables the route of kindMoved stays at a service.
const tablesBetweenMoves = 4

// movedRoute is the route of kindMoved in the table with a number.
func movedRoute(number uint64) route.Route {
	moved := newRoute(kindMoved, route.Keyed, serviceApp, 3)
	app, recorded := route.Target{Service: serviceApp, Weight: 1}, route.Target{Service: serviceRecorded, Weight: 1}
	targets := [][]route.Target{{app}, {recorded}, {app, recorded}, {recorded}}
	moved.Targets = targets[number/tablesBetweenMoves%uint64(len(targets))]
	return moved
}

// tableText encodes the table with a number. No two are equal, since each has its own route.
func tableText(number uint64) []byte {
	tenant := func(name string, rate, burst float64) route.Tenant {
		return route.Tenant{Name: name, Keys: []string{configuration.KeyDigest(keyOf(name))}, Rate: rate, Burst: burst}
	}
	chat, kept := newRoute(kindChat, route.Stream, serviceModel, 2), newRoute(kindKept, route.Stream, serviceModel, 2)
	chat.Resumable, kept.KeepHistory, kept.KeepSeconds = true, true, historyRetention.Seconds()
	table := route.Table{Number: number, KeyRequired: true, Limits: route.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20},
		Routes: []route.Route{
			newRoute(kindAlert, route.Repeatable, serviceApp, 2),
			newRoute(kindOnce, route.Once, serviceApp, 3),
			chat,
			kept,
			newRoute(kindKeyed, route.Keyed, serviceApp, 3),
			newRoute(kindRecorded, route.Keyed, serviceRecorded, 3),
			movedRoute(number),
			numberedRoute(number),
		},
		Services: []route.Service{
			{Name: serviceModel, Connections: 100, TokensPerEvent: tokensPerEvent, Slots: 8},
			{Name: serviceApp, Connections: 100, TokensPerEvent: 1, Slots: 8},
			{Name: serviceRecorded, Connections: 100, TokensPerEvent: 1, Slots: 8, Deduplicates: true},
		},
		Tenants: []route.Tenant{tenant(tenantFirst, 0, 0), tenant(tenantSecond, 0, 0), tenant(tenantLimited, limitedRate, limitedBurst)}}
	raw, err := json.Marshal(table)
	if err != nil {
		panic(err)
	}
	return raw
}

// apply sends a whole table and returns the status of the answer, or 0 if there was none.
func (t *tableOperator) apply(ctx context.Context, registry *process, base, number uint64) int {
	return t.applyText(ctx, registry, tableUpdate{Base: base, Number: number, Valid: true}, tableText(number))
}

func (t *tableOperator) applyText(ctx context.Context, registry *process, u tableUpdate, body []byte) int {
	return t.send(ctx, http.MethodPut, registry, u, body)
}

// amend sends only the difference between the tables with the numbers base and number.
func (t *tableOperator) amend(ctx context.Context, registry *process, base, number uint64) int {
	amendment := route.Amendment{
		Number: number,
		Set:    route.SetItems{Routes: []route.Route{movedRoute(number), numberedRoute(number)}},
		Remove: route.RemovedNames{Routes: []string{routeName(base)}},
	}
	body, err := json.Marshal(amendment)
	if err != nil {
		panic(err)
	}
	return t.send(ctx, http.MethodPatch, registry, tableUpdate{Base: base, Number: number, Valid: true}, body)
}

func (t *tableOperator) send(ctx context.Context, method string, registry *process, u tableUpdate, body []byte) int {
	f := t.fleet
	u.Began = f.now()
	u.Status, _ = t.call(ctx, method, registry, "/v1/table?base="+strconv.FormatUint(u.Base, 10), body)
	u.Ended = f.now()
	f.update(func(r *record) { r.TableUpdates = append(r.TableUpdates, u) })
	if u.Status == http.StatusOK {
		t.known = max(t.known, u.Number)
	}
	t.number = max(t.number, u.Number)
	return u.Status
}

func (t *tableOperator) call(ctx context.Context, method string, registry *process, path string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+registry.address(operatorPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	answer, err := t.fleet.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	got, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, got
}

// read checks that the active table is what was applied. It reports whether the registry
// answered.
func (t *tableOperator) read(ctx context.Context, registry *process) bool {
	f := t.fleet
	began := f.now()
	status, got := t.call(ctx, http.MethodGet, registry, "/v1/table", nil)
	var read route.Table
	if status != http.StatusOK || json.Unmarshal(got, &read) != nil {
		return false
	}
	seen := tableRead{Registry: registry.name, Began: began, Ended: f.now(), Number: read.Number}
	f.update(func(r *record) { r.TableReads = append(r.TableReads, seen) })
	t.known = max(t.known, read.Number)
	if !bytes.Equal(compact(got), compact(tableText(read.Number))) {
		f.recordBreach(RuleTables, "table %d, read at %s, is not what was applied", read.Number, registry.name)
	}
	return true
}

// compact returns the canonical encoding of a valid table.
func compact(raw []byte) []byte {
	parsed, faults := route.Parse(raw)
	if faults != nil {
		return raw
	}
	return parsed.JSONWithoutSource()
}

// operate applies tables until the context ends: some concurrently on one base, some invalid,
// some retried after a lost answer.
func (t *tableOperator) operate(ctx context.Context) {
	registries := t.fleet.withRole(roleRegistry)
	for ctx.Err() == nil {
		pause(ctx, time.Duration(300+rand.IntN(900))*time.Millisecond)
		registry, other := registries[rand.IntN(len(registries))], registries[rand.IntN(len(registries))]
		next := t.number + 1 + uint64(rand.IntN(3))
		switch rand.IntN(9) {
		case 0:
			t.race(ctx, registry, other, next)
		case 1:
			t.applyText(ctx, registry, tableUpdate{Base: t.known, Number: next}, []byte(fmt.Sprintf(`{"number":%d,"routes":[{"host":"h"}]}`, next)))
		case 2:
			// The answer may be lost; the same update is then retried.
			short, cancel := context.WithTimeout(ctx, time.Duration(rand.IntN(20))*time.Millisecond)
			base := t.known
			t.apply(short, registry, base, next)
			cancel()
			t.apply(ctx, other, base, next)
		case 3:
			t.read(ctx, registry)
		case 4:
			t.send(ctx, http.MethodPatch, registry, tableUpdate{Base: t.known, Number: next},
				fmt.Appendf(nil, `{"number":%d,"remove":{"services":[%q]}}`, next, serviceModel))
		case 5:
			short, cancel := context.WithTimeout(ctx, time.Duration(rand.IntN(20))*time.Millisecond)
			base := t.known
			t.amend(short, registry, base, next)
			cancel()
			t.amend(ctx, other, base, next)
		case 6:
			if t.amend(ctx, registry, t.known, next) == http.StatusConflict {
				t.read(ctx, other)
			}
		default:
			if t.apply(ctx, registry, t.known, next) == http.StatusConflict {
				t.read(ctx, other)
			}
		}
	}
}

func (t *tableOperator) race(ctx context.Context, registry, other *process, next uint64) {
	base, first, second := t.known, *t, *t
	done := make(chan struct{})
	go func() {
		first.apply(ctx, registry, base, next)
		close(done)
	}()
	second.apply(ctx, other, base, next+1)
	<-done
	t.known, t.number = max(first.known, second.known), max(first.number, second.number)
}
