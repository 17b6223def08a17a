package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/operator"
)

const shownPrecision = time.Millisecond

// readOptions are the flags of the commands that print what a core reports.
type readOptions struct {
	clientOptions
	Tenant string `help:"Only this tenant."`
	JSON   bool   `help:"Print JSON."`
}

// read fetches a report and decodes it into target. It returns true if it has printed the report
// as JSON.
func (o readOptions) read(out io.Writer, path string, query url.Values, target any) (printed bool, err error) {
	status, raw, err := o.do("GET", path+"?"+query.Encode(), nil, target)
	if err != nil {
		return false, err
	}
	if status != http.StatusOK {
		return false, operator.NewResponseError(status, raw)
	}
	if o.JSON {
		fmt.Fprintln(out, strings.TrimSpace(string(raw)))
	}
	return o.JSON, nil
}

type sharesCommand struct{ readOptions }

func (c *sharesCommand) Run() error { return c.print(os.Stdout) }

func (c *sharesCommand) print(out io.Writer) error {
	var report operator.SharesReport
	if printed, err := c.read(out, "/v1/shares", url.Values{"tenant": {c.Tenant}}, &report); err != nil || printed {
		return err
	}
	for _, t := range report.Tenants {
		ledger := t.Ledger
		outstanding := int64(0)
		for _, share := range ledger.Shares {
			outstanding += share.Outstanding
		}
		fmt.Fprintf(out, "tenant  %-24s %d in %v by table %d: spent %d, held %d, unconfirmed %d for %v\n", t.Tenant, ledger.Limit.Max,
			ledger.Limit.Window, ledger.Version, ledger.Spent, outstanding, ledger.Unconfirmed, ledger.UnconfirmedRemaining.Round(shownPrecision))
		for _, share := range ledger.Shares {
			fmt.Fprintf(out, "  share   %-40s %d for %v\n", share.Holder, share.Outstanding, share.Remaining.Round(shownPrecision))
		}
	}
	printMissing(out, report.MissingPartitions)
	return nil
}

type keysCommand struct {
	readOptions
	Operation string `arg:"" optional:"" help:"Operation key whose record is shown; the tenant is needed too."`
}

func (c *keysCommand) Run() error { return c.print(os.Stdout) }

func (c *keysCommand) print(out io.Writer) error {
	if c.Operation != "" {
		return c.printOne(out)
	}
	var report operator.KeysReport
	if printed, err := c.read(out, "/v1/keys", url.Values{"tenant": {c.Tenant}}, &report); err != nil || printed {
		return err
	}
	for _, count := range sumKeys(report.Counts) {
		fmt.Fprintf(out, "tenant  %-24s %-10s %d keys, %d bytes of responses, the last for %v\n", count.Tenant, count.State, count.Keys,
			count.ResponseBytes, count.Remaining.Round(shownPrecision))
	}
	printMissing(out, report.MissingPartitions)
	return nil
}

func (c *keysCommand) printOne(out io.Writer) error {
	var record core.KeyRecord
	query := url.Values{"tenant": {c.Tenant}, "key": {c.Operation}}
	if printed, err := c.read(out, "/v1/key", query, &record); err != nil || printed {
		return err
	}
	fmt.Fprintf(out, "%s by claim %s for service %s; stored for %v\n", record.State, record.Claim, record.Service, record.Remaining.Round(shownPrecision))
	switch record.State {
	case core.KeyClaimed:
		fmt.Fprintf(out, "its holder may be at work for %v\n", record.Working.Round(shownPrecision))
	case core.KeyDone:
		fmt.Fprintf(out, "response: status %d, %d bytes\n", record.Status, record.ResponseBytes)
	}
	return nil
}

// sumKeys adds the counts of all partitions up, in the order of their first appearance.
func sumKeys(counts []core.KeyCount) []core.KeyCount {
	type group struct {
		tenant string
		state  core.KeyState
	}
	index := map[group]int{}
	var sums []core.KeyCount
	for _, count := range counts {
		g := group{tenant: count.Tenant, state: count.State}
		i, ok := index[g]
		if !ok {
			index[g] = len(sums)
			sums = append(sums, count)
			continue
		}
		sums[i].Keys += count.Keys
		sums[i].ResponseBytes += count.ResponseBytes
		sums[i].Remaining = max(sums[i].Remaining, count.Remaining)
	}
	return sums
}

func printMissing(out io.Writer, partitions []int) {
	if len(partitions) > 0 {
		fmt.Fprintf(out, "no answer from partitions %v\n", partitions)
	}
}
