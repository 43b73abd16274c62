package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwheel/mastwheel/httpjson"
	"github.com/mastwheel/mastwheel/operator"
	"github.com/mastwheel/mastwheel/table"
)

func tableCommand() *cli.Command {
	sub := func(name, usage, arguments string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: arguments, Flags: append(operatorFlags(), flags...), Action: action,
		}
	}
	return &cli.Command{
		Name:  "table",
		Usage: "inspect and edit the operators' table",
		Commands: []*cli.Command{
			sub("show", "show the table in force", "", runTableShow, &cli.BoolFlag{Name: "toml", Usage: "print TOML"}),
			sub("get", "print one cell or one row", "KIND.ROW[.COLUMN]", runTableGet),
			sub("set", "set one cell; an empty VALUE clears it", "KIND.ROW.COLUMN VALUE", runTableSet, editFlags()...),
			sub("edit", "set several cells in one edit", "KIND.ROW.COLUMN=VALUE …", runTableEdit, editFlags()...),
			sub("remove", "remove a row", "KIND.ROW", runTableRemove, editFlags()...),
			sub("apply", "make the table match a TOML file", "FILE", runTableApply, editFlags()...),
			sub("diff", "show what apply would change", "FILE", runTableDiff),
			sub("history", "show the latest edits and their verdicts", "", runTableHistory),
			sub("verdict", "show the verdict on an edit", "EDIT-ID", runTableVerdict),
			sub("revert", "undo an accepted edit with a new edit", "EDIT-ID", runTableRevert, editFlags()...),
			sub("wait", "wait until every instance has a revision", "REVISION", runTableWait,
				&cli.DurationFlag{Name: "timeout", Usage: "how long to wait", Value: 10 * time.Second}),
		},
	}
}

func editFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "reason for the edit, recorded in the history", Required: true},
		&cli.StringFlag{Name: "author", Usage: "author of the edit; default: your user name"},
		&cli.Uint64Flag{Name: "base", Usage: "revision that the edit is based on; default: the one in force"},
		&cli.BoolFlag{Name: "dry-run", Usage: "only check the edit and show what would change"},
	}
}

func oneArgument(command *cli.Command, what string) (string, error) {
	if command.Args().Len() != 1 {
		return "", errors.Errorf("table %s: give one %s", command.Name, what)
	}
	return command.Args().First(), nil
}

func currentTable(ctx context.Context, command *cli.Command) (*table.Table, error) {
	current := new(table.Table)
	err := getJSON(ctx, command, operator.PathTable, current)
	return current, err
}

func runTableShow(ctx context.Context, command *cli.Command) error {
	var current table.Table
	if err := getJSON(ctx, command, operator.PathTable, &current); err != nil {
		return err
	}
	out := command.Root().Writer
	switch {
	case command.Bool("json"):
		printJSON(out, &current)
	case command.Bool("toml"):
		text, err := current.TOML()
		if err != nil {
			return err
		}
		out.Write(text)
	default:
		fmt.Fprintf(out, "revision %d\n", current.Revision)
		for _, kind := range table.Kinds {
			if err := printKind(out, &current, kind); err != nil {
				return err
			}
		}
	}
	return nil
}

func printKind(out io.Writer, t *table.Table, kind table.Kind) error {
	columns := table.Columns(kind)
	header := []string{string(kind)}
	for _, column := range columns {
		header = append(header, string(column))
	}
	return printRows(out, header, func(add func([]string) error) error {
		for _, key := range t.Keys(kind) {
			row, _ := t.Row(key)
			cells := []string{key.Name}
			for _, column := range columns {
				cells = append(cells, row.Cells[column])
			}
			if err := add(cells); err != nil {
				return err
			}
		}
		return nil
	})
}

// parseCell parses KIND.ROW.COLUMN. A row's name may contain dots.
func parseCell(text string) (table.RowKey, table.Column, error) {
	kind, rest, ok := strings.Cut(text, ".")
	dot := strings.LastIndexByte(rest, '.')
	if !ok || dot <= 0 || dot == len(rest)-1 {
		return table.RowKey{}, "", errors.Errorf("%q is not KIND.ROW.COLUMN", text)
	}
	return table.RowKey{Kind: table.Kind(kind), Name: rest[:dot]}, table.Column(rest[dot+1:]), nil
}

func parseRow(text string) (table.RowKey, error) {
	kind, name, ok := strings.Cut(text, ".")
	if !ok || name == "" {
		return table.RowKey{}, errors.Errorf("%q is not KIND.ROW", text)
	}
	return table.RowKey{Kind: table.Kind(kind), Name: name}, nil
}

func runTableGet(ctx context.Context, command *cli.Command) error {
	what, err := oneArgument(command, "KIND.ROW or KIND.ROW.COLUMN")
	if err != nil {
		return err
	}
	current, err := currentTable(ctx, command)
	if err != nil {
		return err
	}
	out := command.Root().Writer
	if key, err := parseRow(what); err == nil {
		if row, exists := current.Row(key); exists {
			return printRow(out, command.Bool("json"), key, row)
		}
	}
	key, column, err := parseCell(what)
	if err != nil {
		return err
	}
	row, exists := current.Row(key)
	if !exists {
		return errors.Errorf("no row %s", key)
	}
	fmt.Fprintln(out, row.Cells[column])
	return nil
}

func printRow(out io.Writer, asJSON bool, key table.RowKey, row table.Row) error {
	if asJSON {
		printJSON(out, row)
		return nil
	}
	for _, column := range table.Columns(key.Kind) {
		if value := row.Cells[column]; value != "" {
			fmt.Fprintf(out, "%s = %s\n", column, value)
		}
	}
	return nil
}

func runTableSet(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() != 2 {
		return errors.New("table set: give KIND.ROW.COLUMN and VALUE")
	}
	key, column, err := parseCell(command.Args().Get(0))
	if err != nil {
		return err
	}
	change := table.Change{Row: key, Column: column, Value: command.Args().Get(1)}
	return submit(ctx, command, []table.Change{change})
}

func runTableEdit(ctx context.Context, command *cli.Command) error {
	var changes []table.Change
	for _, argument := range command.Args().Slice() {
		cell, value, ok := strings.Cut(argument, "=")
		if !ok {
			return errors.Errorf("%q is not KIND.ROW.COLUMN=VALUE", argument)
		}
		key, column, err := parseCell(cell)
		if err != nil {
			return err
		}
		changes = append(changes, table.Change{Row: key, Column: column, Value: value})
	}
	return submit(ctx, command, changes)
}

func runTableRemove(ctx context.Context, command *cli.Command) error {
	what, err := oneArgument(command, "KIND.ROW")
	if err != nil {
		return err
	}
	key, err := parseRow(what)
	if err != nil {
		return err
	}
	return submit(ctx, command, []table.Change{{Row: key, RemoveRow: true}})
}

func runTableApply(ctx context.Context, command *cli.Command) error {
	changes, err := fileChanges(ctx, command)
	if err != nil {
		return err
	}
	return submit(ctx, command, changes)
}

func runTableDiff(ctx context.Context, command *cli.Command) error {
	changes, err := fileChanges(ctx, command)
	if err != nil {
		return err
	}
	printChanges(command.Root().Writer, command.Bool("json"), changes)
	return nil
}

// fileChanges returns the changes that make the table match a TOML file.
func fileChanges(ctx context.Context, command *cli.Command) ([]table.Change, error) {
	file, err := oneArgument(command, "FILE")
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "table "+command.Name)
	}
	wanted, err := table.ParseTOML(data)
	if err != nil {
		return nil, errors.WithMessage(err, file)
	}
	current, err := currentTable(ctx, command)
	if err != nil {
		return nil, err
	}
	return current.Diff(wanted), nil
}

func printChanges(out io.Writer, asJSON bool, changes []table.Change) {
	if asJSON {
		printJSON(out, changes)
		return
	}
	for _, change := range changes {
		switch {
		case change.RemoveRow:
			fmt.Fprintf(out, "remove %s\n", change.Row)
		case change.Value == "":
			fmt.Fprintf(out, "empty  %s.%s\n", change.Row, change.Column)
		default:
			fmt.Fprintf(out, "set    %s.%s = %s\n", change.Row, change.Column, change.Value)
		}
	}
}

// submit checks an edit against the table in force and sends it, unless it is a
// dry run.
func submit(ctx context.Context, command *cli.Command, changes []table.Change) error {
	out := command.Root().Writer
	if len(changes) == 0 {
		fmt.Fprintln(out, "nothing to change")
		return nil
	}
	current, err := currentTable(ctx, command)
	if err != nil {
		return err
	}
	edit := newEdit(command, current.Revision, changes)
	if _, err := current.Apply(edit, current.Revision+1); err != nil {
		return err
	}
	if command.Bool("dry-run") {
		printChanges(out, command.Bool("json"), changes)
		return nil
	}
	return sendEdit(ctx, command, edit)
}

func newEdit(command *cli.Command, revision uint64, changes []table.Change) table.Edit {
	edit := table.Edit{
		ID: table.NewEditID(), Base: revision, Author: command.String("author"), Reason: command.String("reason"), Changes: changes,
	}
	if command.IsSet("base") {
		edit.Base = command.Uint64("base")
	}
	if edit.Author == "" {
		edit.Author = "unknown"
		if current, err := user.Current(); err == nil {
			edit.Author = current.Username
		}
	}
	return edit
}

// sendEdit sends an edit to an instance and reports the verdict: accepted, refused,
// or not known yet. A failed request does not show that the edit was refused.
func sendEdit(ctx context.Context, command *cli.Command, edit table.Edit) error {
	c := httpjson.New(command.String("token"))
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	status, raw, err := c.Do(ctx, http.MethodPost, "http://"+command.String("operator")+operator.PathEdits, edit, nil)
	if err != nil {
		return errors.Errorf("not known yet: %v; query it with: mastwheel table verdict %s", err, edit.ID)
	}
	var verdict table.Verdict
	if err := json.Unmarshal(raw, &verdict); err != nil {
		return errors.Errorf("status %d: %s", status, strings.TrimSpace(string(raw)))
	}
	switch status {
	case http.StatusOK, http.StatusConflict:
		return printVerdict(command, verdict)
	case http.StatusAccepted:
		return errors.Errorf("%s; query it with: mastwheel table verdict %s", verdict.Why, edit.ID)
	default:
		return errors.Errorf("status %d: %s", status, strings.TrimSpace(string(raw)))
	}
}

// sendTimeout is longer than the time for which an instance waits for a verdict.
const sendTimeout = 8 * time.Second

func printVerdict(command *cli.Command, verdict table.Verdict) error {
	out := command.Root().Writer
	if command.Bool("json") {
		printJSON(out, verdict)
	} else if verdict.Accepted {
		fmt.Fprintf(out, "accepted at revision %d (edit %s)\n", verdict.Offset, verdict.EditID)
	}
	if !verdict.Accepted {
		return errors.Errorf("refused (edit %s): %s", verdict.EditID, verdict.Why)
	}
	return nil
}

func runTableVerdict(ctx context.Context, command *cli.Command) error {
	verdict, err := namedVerdict(ctx, command)
	if err != nil {
		return err
	}
	return printVerdict(command, verdict)
}

// namedVerdict gets the verdict on the edit named on the command line.
func namedVerdict(ctx context.Context, command *cli.Command) (verdict table.Verdict, err error) {
	id, err := oneArgument(command, "EDIT-ID")
	if err != nil {
		return verdict, err
	}
	err = getJSON(ctx, command, operator.PathEdits+"/"+id, &verdict)
	return verdict, err
}

func runTableHistory(ctx context.Context, command *cli.Command) error {
	var history operator.History
	if err := getJSON(ctx, command, operator.PathHistory, &history); err != nil {
		return err
	}
	out := command.Root().Writer
	if command.Bool("json") {
		printJSON(out, history)
		return nil
	}
	for _, verdict := range history.Verdicts {
		state := "accepted"
		if !verdict.Accepted {
			state = "refused: " + verdict.Why
		}
		fmt.Fprintf(out, "%6d  %s  %s: %s  (%s)\n", verdict.Offset, verdict.EditID, verdict.Author, verdict.Reason, state)
		printChanges(out, false, verdict.Changes)
	}
	if history.BadRecords > 0 {
		fmt.Fprintf(out, "%d records of the log were refused as they could not be read or verified\n", history.BadRecords)
	}
	return nil
}

func runTableRevert(ctx context.Context, command *cli.Command) error {
	verdict, err := namedVerdict(ctx, command)
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		return errors.Errorf("edit %s was refused; there is nothing to undo", verdict.EditID)
	}
	return submit(ctx, command, verdict.Undo)
}

func runTableWait(ctx context.Context, command *cli.Command) error {
	text, err := oneArgument(command, "REVISION")
	if err != nil {
		return err
	}
	var revision uint64
	if _, err := fmt.Sscan(text, &revision); err != nil {
		return errors.Errorf("%q is not a revision", text)
	}
	deadline := time.Now().Add(command.Duration("timeout"))
	for {
		missing, err := instancesBehind(ctx, command, revision)
		if err != nil {
			return err
		}
		if len(missing) == 0 {
			fmt.Fprintf(command.Root().Writer, "revision %d is in force everywhere\n", revision)
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("revision %d is not known to be in force at: %s", revision, strings.Join(missing, ", "))
		}
		time.Sleep(waitPollInterval)
	}
}

// waitPollInterval is the pause between two status requests while waiting for a
// revision.
const waitPollInterval = 100 * time.Millisecond

// instancesBehind returns the names of the instances that are not known to have a
// revision.
func instancesBehind(ctx context.Context, command *cli.Command, revision uint64) ([]string, error) {
	var status operator.Status
	if err := getJSON(ctx, command, operator.PathStatus, &status); err != nil {
		return nil, err
	}
	var missing []string
	if status.Self.Revision < revision {
		missing = append(missing, status.Self.Name)
	}
	for _, sibling := range status.Siblings {
		if sibling.State != "dead" && sibling.Revision < revision {
			missing = append(missing, fmt.Sprintf("%s (%s)", sibling.Name, sibling.State))
		}
	}
	return missing, nil
}
