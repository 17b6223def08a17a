package refusals

import (
	"os"

	"github.com/cockroachdb/errors"
)

// Command lists the refusals that node logs contain.
type Command struct {
	Logs []string `arg:"" type:"existingfile" help:"Node logs as JSON lines; a line may have a prefix before its JSON."`
}

// Run reads the logs and prints their refusals to the standard output.
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
