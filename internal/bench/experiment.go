package bench

import (
	"fmt"

	"github.com/godwitspread/godwitspread/internal/experiment"
)

type experimentCommand struct {
	console *console
	Output  string `long:"output" default:"out" description:"directory for the report"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of the first run; each further run increments it"`
	Seeds   int    `long:"seeds" default:"6" description:"number of runs for each policy, with one seed each"`
}

// Execute simulates each load pattern under each of its policies and reports the
// mean of the runs.
func (command *experimentCommand) Execute([]string) error {
	if command.Seeds < 1 {
		return fmt.Errorf("--seeds is %d, expected at least 1", command.Seeds)
	}
	var results []experiment.Result
	var rows [][]string
	for _, pattern := range experiment.Patterns() {
		for _, policy := range pattern.Policies {
			var runs []experiment.Result
			for seed := range uint64(command.Seeds) {
				runs = append(runs, experiment.Run(pattern, policy, command.Seed+seed))
			}
			mean := experiment.Mean(runs)
			results = append(results, mean)
			rows = append(rows, mean.Row())
		}
	}
	command.console.printTable(experiment.Header(), rows)
	if err := writeJSON(command.Output, "experiment.json", results); err != nil {
		return err
	}
	return writeFile(command.Output, "experiment.svg", experiment.Plot(results))
}
