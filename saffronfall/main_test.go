package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// asProgram is the environment variable that makes the test binary run main.
const asProgram = "SAFFRONFALL_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestReloadWhileStarting guards against a SIGHUP that ends the process before the settings are
// read. The settings file is a named pipe, which blocks that read.
func TestReloadWhileStarting(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	operatorAddress := ownAddress(7001)
	settings, err := json.Marshal(map[string]any{"id": "n", "seeds": []string{}, "fleet_secret": "a secret of some length", "folder": filepath.Join(dir, "data"),
		"peer_listen": ownAddress(7000), "operator_listen": operatorAddress})
	if err != nil {
		t.Fatal(err)
	}
	logPath := filepath.Join(dir, "log")
	log, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(os.Args[0], "desk", path)
	command.Env = append(os.Environ(), asProgram+"=1")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	// Opening a pipe for writing blocks until the process opens it for reading.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	command.Process.Signal(syscall.SIGHUP)
	select {
	case err := <-ended:
		t.Fatalf("ended: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	if _, err := pipe.Write(settings); err != nil {
		t.Fatal(err)
	}
	pipe.Close()
	until(t, "the process listens", func() bool {
		select {
		case err := <-ended:
			text, _ := os.ReadFile(logPath)
			t.Fatalf("ended: %v\n%s", err, text)
		default:
		}
		c, err := net.Dial("tcp", operatorAddress)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	if pipe, err = os.OpenFile(path, os.O_WRONLY, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.Write(settings); err != nil {
		t.Fatal(err)
	}
	pipe.Close()
	until(t, "the settings are reloaded", func() bool {
		text, err := os.ReadFile(logPath)
		return err == nil && strings.Contains(string(text), "settings read again")
	})
	command.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			text, _ := os.ReadFile(logPath)
			t.Fatalf("%v\n%s", err, text)
		}
	case <-time.After(10 * time.Second):
		command.Process.Kill()
		t.Fatal("the process does not end after SIGTERM")
	}
}

func until(t *testing.T, condition string, met func() bool) {
	t.Helper()
	tick, deadline := time.NewTicker(20*time.Millisecond), time.After(10*time.Second)
	defer tick.Stop()
	for !met() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("timeout waiting until %s", condition)
		}
	}
}

// ownAddress returns an address that no other test process uses, with a port below the ephemeral
// ones.
func ownAddress(port int) string {
	return fmt.Sprintf("127.7.%d.%d:%d", os.Getpid()>>8&0xff, os.Getpid()&0xff, port)
}
