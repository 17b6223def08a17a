package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/desk"
	"saffronfall/peer/operator"
	"saffronfall/rule/route"
)

// amendOptions are the form of apply that changes named items of a routing table.
type amendOptions struct {
	Amend   bool `help:"The file is an amendment of the routing table in force, and --core names a desk's operator address."`
	Preview bool `help:"With --amend: print what would change, and change nothing."`
}

// runAmend hands an amendment over, or prints what it would change.
func (c *applyCommand) runAmend(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, faults := route.ParseAmendment(text); faults != nil {
		return faults
	}
	base, err := c.tableBase()
	if err != nil {
		return err
	}
	path := "/v1/table?base=" + strconv.FormatUint(base, 10)
	if c.Preview {
		path += "&preview=true"
	}
	var handed desk.OrderResult
	status, raw, err := c.do(http.MethodPatch, path, json.RawMessage(text), &handed)
	if err != nil {
		return err
	}
	if status == http.StatusBadRequest || status == http.StatusConflict {
		// A refusal that is no desk's is told as it came.
		err = json.Unmarshal(raw, &handed)
	}
	switch {
	case err != nil:
		return errors.Wrap(operator.NewResponseError(status, raw), "not taken")
	case status == http.StatusBadRequest && handed.Faults != nil:
		return handed.Faults
	case status == http.StatusConflict:
		return errors.Newf("not taken: table %d is in force, and the amendment builds on %d", handed.Number, base)
	case status != http.StatusOK:
		return errors.Wrap(operator.NewResponseError(status, raw), "not taken")
	case handed.Preview != nil:
		printPreview(out, base, *handed.Preview)
	default:
		fmt.Fprintf(out, "table %d taken\n", handed.Number)
	}
	return nil
}

// tableBase is the number of the table that an amendment builds on.
func (c *applyCommand) tableBase() (uint64, error) {
	if c.BasedOn >= 0 {
		return uint64(c.BasedOn), nil
	}
	var current struct {
		Number uint64 `json:"Number"`
	}
	status, raw, err := c.do(http.MethodGet, "/v1/table", nil, &current)
	if err == nil && status != http.StatusOK {
		err = operator.NewResponseError(status, raw)
	}
	return current.Number, errors.Wrap(err, "the table in force")
}

// printPreview tells what an amendment would change.
func printPreview(out io.Writer, base uint64, p route.Preview) {
	fmt.Fprintf(out, "on table %d:\n", base)
	kinds := []struct {
		name    string
		changed route.ChangedNames
	}{{"routes", p.Routes}, {"services", p.Services}, {"tenants", p.Tenants}}
	nothing := true
	for _, kind := range kinds {
		fates := []struct {
			fate  string
			names []string
		}{{"added", kind.changed.Added}, {"replaced", kind.changed.Replaced}, {"removed", kind.changed.Removed}}
		for _, fate := range fates {
			if len(fate.names) > 0 {
				nothing = false
				fmt.Fprintf(out, "  %s %s: %s\n", kind.name, fate.fate, strings.Join(fate.names, ", "))
			}
		}
	}
	if nothing {
		fmt.Fprintln(out, "  nothing changes but the number")
	}
}
