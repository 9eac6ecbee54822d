package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/measure"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:      "measure",
		Usage:     "report write unavailability, read routing and control traffic from the hosts' logs",
		ArgsUsage: "LOG...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return &exit.UsageError{Text: "measure takes at least one log file"}
			}
			return runMeasure(c.Args().Slice(), c.String("output"))
		},
	}
}

// measureReport is the output of the measure command.
type measureReport struct {
	Losses         []measure.PrimaryLoss
	Reads          []measure.Reads
	ControlTraffic []measure.ControlTraffic `json:"Talk"`
}

func runMeasure(files []string, output string) error {
	var lines []measure.Line
	for _, name := range files {
		read, err := readLog(name, measure.Parse)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	m := measureReport{Losses: measure.FindPrimaryLosses(lines), Reads: measure.SumReads(lines), ControlTraffic: measure.SumControlTraffic(lines)}
	switch output {
	case "json":
		return json.NewEncoder(os.Stdout).Encode(m)
	case "text":
		return m.print()
	}
	return &exit.UsageError{Text: "--output must be text or json"}
}

func (m measureReport) print() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	rows := []string{"SERVICE\tLOST\tNEXT\tBELIEVED\tAGREED\tORDERED\tLEADS\tKNOWN HALF\tKNOWN ALL\tFIRST WRITE\tLIVED"}
	for _, l := range m.Losses {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%t", l.Service, l.Lost, l.Next,
			formatMilliseconds(l.Suspected), formatMilliseconds(l.Agreed), formatMilliseconds(l.Ordered), formatMilliseconds(l.Leads), formatMilliseconds(l.KnownHalf), formatMilliseconds(l.KnownAll), formatMilliseconds(l.FirstWrite), l.StillAlive))
	}
	rows = append(rows, "", "READS\tTOTAL\tREPLICAS\tBY ROUTE\tNO FLOOR\tBEHIND\tDOUBT\tSOONER")
	for _, r := range m.Reads {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d", r.Consistency, r.Total(), r.ReplicaShare(), r.ByRoute, r.NoFloor, r.Behind, r.ReplicasSuspect, r.PrimaryFaster))
	}
	rows = append(rows, "", "SENT FOR CONTROL\tTOTAL\tA HOST AND SECOND")
	for _, t := range m.ControlTraffic {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%.3f", t.Purpose, t.Count, t.PerHostSecond))
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, row); err != nil {
			return err
		}
	}
	return w.Flush()
}

// formatMilliseconds formats a duration in milliseconds, or "-" if it is unknown.
func formatMilliseconds(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", d.Milliseconds())
}
