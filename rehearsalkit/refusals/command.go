package refusals

import (
	"os"

	"github.com/cockroachdb/errors"
)

// Command lists the refusals that logs of nodes tell of.
type Command struct {
	Logs []string `arg:"" type:"existingfile" help:"Logs of nodes, as JSON lines; each line may have something before its JSON."`
}

// Run reads the logs and prints their refusals.
func (c *Command) Run() error {
	all := Refusals{}
	for _, path := range c.Logs {
		if err := all.readFile(path); err != nil {
			return err
		}
	}
	return all.Print(os.Stdout)
}

func (r Refusals) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer file.Close()
	return errors.Wrap(r.Read(file), path)
}
