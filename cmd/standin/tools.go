package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// portsCommand prints loopback ports that are free at the moment, one per line.
func portsCommand() *cli.Command {
	return &cli.Command{
		Name:      "ports",
		Usage:     "print COUNT free loopback ports",
		ArgsUsage: "COUNT",
		Action: func(_ context.Context, c *cli.Command) error {
			count, err := strconv.Atoi(c.Args().First())
			if err != nil {
				return err
			}
			for _, port := range standin.FreePorts(count) {
				fmt.Println(port)
			}
			return nil
		},
	}
}

// callCommand makes one HTTP request, prints the response body and exits 1 on an
// error status.
func callCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "make one HTTP request with standard input as its body",
		ArgsUsage: "METHOD URL",
		Action: func(ctx context.Context, c *cli.Command) error {
			body, err := io.ReadAll(os.Stdin)
			if err != nil {
				return err
			}
			req, err := http.NewRequestWithContext(ctx, c.Args().Get(0), c.Args().Get(1), bytes.NewReader(body))
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			_, err = io.Copy(os.Stdout, resp.Body)
			if err == nil && resp.StatusCode >= http.StatusBadRequest {
				err = cli.Exit(resp.Status, 1)
			}
			return err
		},
	}
}
