package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"github.com/vanilladrift/vanilladrift/operator/operatorpb/operatorpbconnect"
	"github.com/vanilladrift/vanilladrift/transport"
)

// clientOptions are the flags of the commands that call a node.
type clientOptions struct {
	Server  string        `long:"server" env:"VANILLADRIFT_SERVER" default:"127.0.0.1:7102" description:"operator address of a node"`
	Token   string        `long:"token" env:"VANILLADRIFT_TOKEN" description:"operator's token"`
	Output  string        `long:"output" choice:"table" choice:"json" default:"table" description:"format of the output"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"timeout of a call, or of the whole command settings wait"`
}

// newClient returns a client of the given server, or of --server if it is empty.
func (o *clientOptions) newClient(server string) operatorpbconnect.OperatorClient {
	if server == "" {
		server = o.Server
	}
	bearer := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+o.Token)
			return next(ctx, req)
		}
	})
	return operatorpbconnect.NewOperatorClient(transport.NewClient(), "http://"+server, connect.WithInterceptors(bearer))
}

func (o *clientOptions) timeoutContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), o.Timeout)
}

// print writes v as JSON or rows as a table, as selected by --output. The header holds
// the column names, separated by spaces.
func (o *clientOptions) print(v any, header string, rows [][]string) error {
	if o.Output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(strings.ToUpper(header), " ", "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// formatFields returns the fields as name=value pairs sorted by name.
func formatFields(m map[string]string) string {
	var parts []string
	for k, v := range m {
		parts = append(parts, k+"="+v)
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
