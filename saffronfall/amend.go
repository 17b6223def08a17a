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

	"saffronfall/peer/operator"
	"saffronfall/peer/registry"
	"saffronfall/rule/route"
)

type amendOptions struct {
	Amend   bool `help:"The file is an amendment of the current routing table, and --core is the operator address of a desk."`
	Preview bool `help:"With --amend: print what would change, and change nothing."`
}

func (c *applyCommand) runAmend(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, faults := route.ParseAmendment(text); faults != nil {
		return faults
	}
	base, err := c.baseTable()
	if err != nil {
		return err
	}
	path := "/v1/table?base=" + strconv.FormatUint(base, 10)
	if c.Preview {
		path += "&preview=true"
	}
	var result registry.OrderResult
	status, raw, err := c.do(http.MethodPatch, path, json.RawMessage(text), &result)
	if err != nil {
		return err
	}
	if status == http.StatusBadRequest || status == http.StatusConflict {
		// If this fails, the response is not a registry's and is reported as it is.
		err = json.Unmarshal(raw, &result)
	}
	switch {
	case err != nil:
		return errors.Wrap(operator.NewResponseError(status, raw), "the amendment was not applied")
	case status == http.StatusBadRequest && result.Faults != nil:
		return result.Faults
	case status == http.StatusConflict:
		return errors.Newf("the amendment was not applied: table %d is in force, and the amendment is based on %d", result.Number, base)
	case status != http.StatusOK:
		return errors.Wrap(operator.NewResponseError(status, raw), "the amendment was not applied")
	case result.Preview != nil:
		printPreview(out, base, *result.Preview)
	default:
		fmt.Fprintf(out, "table %d taken\n", result.Number)
	}
	return nil
}

// baseTable returns the number of the table that the amendment is based on.
func (c *applyCommand) baseTable() (uint64, error) {
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
	return current.Number, errors.Wrap(err, "reading the current table")
}

func printPreview(out io.Writer, base uint64, p route.Preview) {
	fmt.Fprintf(out, "on table %d:\n", base)
	kinds := []struct {
		name    string
		changed route.ChangedNames
	}{{"routes", p.Routes}, {"services", p.Services}, {"tenants", p.Tenants}}
	unchanged := true
	for _, kind := range kinds {
		changes := []struct {
			change string
			names  []string
		}{{"added", kind.changed.Added}, {"replaced", kind.changed.Replaced}, {"removed", kind.changed.Removed}}
		for _, c := range changes {
			if len(c.names) > 0 {
				unchanged = false
				fmt.Fprintf(out, "  %s %s: %s\n", kind.name, c.change, strings.Join(c.names, ", "))
			}
		}
	}
	if unchanged {
		fmt.Fprintln(out, "  only the number changes")
	}
}
