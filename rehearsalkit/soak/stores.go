package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/registry"
)

// RuleRetirement is broken by an order to empty a core that is accepted without enough others, refused
// with enough, or not answered.
const RuleRetirement = "a core is emptied only where enough remain"

// storesFault replaces one core for good, orders another one to be emptied, and kills all processes.
var storesFault = faultKind{"stores changed, all killed", 1, changeStores}

const (
	// replacedName is the core that comes for one that is gone for good.
	replacedName = "core4"
	hostReplaced = 200
	// lostCoreTime is longer than it takes until a core that is gone counts as lost, with
	// core_gone_ms of settingsOf.
	lostCoreTime  = 10 * time.Second
	retireTimeout = 12 * time.Second
)

func changeStores(f *Fleet, ctx context.Context, random *rand.Rand) string {
	cores := f.withRole(roleCore)
	chosen := random.IntN(len(cores))
	gone, other := cores[chosen], cores[(chosen+1)%len(cores)]
	if err := f.replaceForGood(ctx, gone, between(random, 200*time.Millisecond, 2*time.Second)); err != nil {
		f.recordBreach(RuleExit, "a core can't be replaced: %v", err)
		return ""
	}
	pause(ctx, lostCoreTime)
	f.checkRetirementRefused(ctx, other.name)
	for _, p := range f.processes {
		p.kill()
	}
	for _, p := range f.processes {
		p.start()
	}
	return replacedName + " in place of another core, " + other.name + " not emptied"
}

// replaceForGood kills a core and loses its disk; another one comes at another address.
func (f *Fleet) replaceForGood(ctx context.Context, p *process, away time.Duration) error {
	p.kill()
	p.readLog()
	os.RemoveAll(p.dataFolder())
	pause(ctx, away)
	zone, _ := p.settings["zone"].(string)
	p.name, p.ip, p.folder = replacedName, f.host(hostFleet, hostReplaced), filepath.Join(f.Folder, replacedName)
	p.settings = f.settingsOf(p, zone)
	p.settings["cold_start"] = false
	if err := f.links.Relay(ctx, p.address(relayedPort), p.address(peerPort)); err != nil {
		return err
	}
	return errors.CombineErrors(p.writeSettings(nil), p.start())
}

// checkRetirementRefused orders a core to be emptied though too few would remain.
func (f *Fleet) checkRetirementRefused(ctx context.Context, core string) {
	registries := f.withRole(roleRegistry)
	var status registry.RetirementStatus
	attempt := 0
	answered := f.waitUntil(ctx, retireTimeout, func() bool {
		attempt++
		code, body := f.operator.call(ctx, http.MethodPost, registries[attempt%len(registries)], "/v1/cores/"+core+"/retire", nil)
		return code == http.StatusOK && json.Unmarshal(body, &status) == nil
	})
	switch {
	case !answered:
		f.recordBreach(RuleRetirement, "the order to empty %s has no answer within %v", core, retireTimeout)
	case status.EnoughCores:
		f.recordBreach(RuleRetirement, "the order to empty %s is accepted with two other cores left", core)
	}
}

// disturbFounding ends one process that founds the fleet, and starts it again, at a random time before
// the fleet may be founded. From then on no start is the first one.
func (f *Fleet) disturbFounding(ctx context.Context) error {
	random := rand.New(rand.NewPCG(f.Seed, 44))
	founders := append(f.withRole(roleCore), f.withRole(roleRegistry)[0])
	victim := founders[random.IntN(len(founders))]
	// A process without its first write can't be told from one that lost its disk.
	for _, p := range f.processes {
		if !f.waitUntil(ctx, baselineTimeout, p.hasStarted) {
			return errors.Newf("%s has not started", p.name)
		}
	}
	if err := f.endColdStart(); err != nil {
		return err
	}
	if random.IntN(4) == 0 {
		return nil
	}
	pause(ctx, between(random, 0, foundingTime))
	if random.IntN(2) == 0 {
		victim.kill()
	} else {
		victim.signal(syscall.SIGTERM)
		victim.waitExit()
	}
	pause(ctx, between(random, 0, 600*time.Millisecond))
	return victim.start()
}

// foundingTime is longer than the founding takes from the start of the last process.
const foundingTime = 900 * time.Millisecond

// hasStarted reports whether the process has opened its data folder and logged that it runs.
func (p *process) hasStarted() bool {
	text, err := os.ReadFile(p.logPath())
	return err == nil && strings.Contains(string(text), " started")
}

// endColdStart changes the settings: only the first start may found the fleet.
func (f *Fleet) endColdStart() error {
	for _, p := range f.processes {
		p.settings["cold_start"] = false
		if p.role == roleRegistry {
			p.settings["founds"] = false
		}
		if err := p.writeSettings(nil); err != nil {
			return err
		}
	}
	return nil
}
