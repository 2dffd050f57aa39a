package main

// This file defines the arguments. The value of an option comes from the command line, else
// from its BURDOCKCTL_* variable, else from the settings file.

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/user"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"burdockseam/core/config"
	"burdockseam/io/ctl"
	"burdockseam/io/store"
)

const defaultTimeout = 30 * time.Second

type arguments struct {
	Apply    *applyCommand    `arg:"subcommand:apply" help:"make a folder the accepted configuration"`
	Diff     *diffCommand     `arg:"subcommand:diff" help:"show what apply would change"`
	Pull     *pullCommand     `arg:"subcommand:pull" help:"update a folder to the accepted revision"`
	Show     *showCommand     `arg:"subcommand:show" help:"show a revision with the file that each value comes from"`
	History  *historyCommand  `arg:"subcommand:history" help:"list the newest changes"`
	Revert   *revertCommand   `arg:"subcommand:revert" help:"make an earlier revision's files a new revision"`
	Key      *keyCommand      `arg:"subcommand:key" help:"issue, list and withdraw keys"`
	Domain   *domainCommand   `arg:"subcommand:domain" help:"take a failure domain out or in"`
	Upstream *upstreamCommand `arg:"subcommand:upstream" help:"let an upstream leave or return"`
	Group    *groupCommand    `arg:"subcommand:group" help:"change a group's primary"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"find the cause of a failed request in log files"`
	Usage    *usageCommand    `arg:"subcommand:usage" help:"show the last windows of the usage reports"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show the state of all instances"`
	Where    *whereCommand    `arg:"subcommand:where" help:"say where a request would go now and why, without sending it"`

	Config   string        `arg:"--config,env:BURDOCKCTL_CONFIG" placeholder:"FILE" help:"settings file (INI) with store, operator, secret, author, timeout"`
	Store    string        `arg:"--store,env:BURDOCKCTL_STORE" placeholder:"IP:PORT" help:"address of the store"`
	Operator string        `arg:"--operator,env:BURDOCKCTL_OPERATOR" placeholder:"IP:PORT" help:"the operators' port of any instance; several are separated by commas"`
	Author   string        `arg:"--author,env:BURDOCKCTL_AUTHOR" placeholder:"NAME" help:"author of a change [default: the user's name]"`
	Comment  string        `arg:"--comment" placeholder:"TEXT" help:"comment of a change"`
	Timeout  time.Duration `arg:"--timeout,env:BURDOCKCTL_TIMEOUT" placeholder:"TIME" help:"time limit for the command, with its retries and --wait [default: 30s]"`
	JSON     bool          `arg:"--json" help:"print the result as JSON"`
	// Secret has no option, because other users can see the arguments of a process.
	Secret string `arg:"--,env:BURDOCKCTL_SECRET"`
}

type applyCommand struct {
	Dir  string `arg:"positional,required" placeholder:"DIR" help:"configuration folder"`
	Base *int64 `arg:"--base" placeholder:"N" help:"revision that the folder was made from [default: as remembered in the folder]"`
	waitOption
}

type diffCommand struct {
	Dir  string `arg:"positional,required" placeholder:"DIR" help:"configuration folder"`
	Base *int64 `arg:"--base" placeholder:"N" help:"revision that the folder was made from [default: as remembered in the folder]"`
}

type pullCommand struct {
	Dir  string `arg:"positional,required" placeholder:"DIR" help:"configuration folder; it is created if it does not exist"`
	Base *int64 `arg:"--base" placeholder:"N" help:"revision that the folder was made from [default: as remembered in the folder]"`
}

type showCommand struct {
	Revision uint64 `arg:"--revision" placeholder:"N" help:"revision [default: the newest]"`
}

type historyCommand struct {
	Limit int `arg:"-n,--limit" default:"20" placeholder:"N" help:"number of changes"`
}

type revertCommand struct {
	Revision uint64 `arg:"positional,required" placeholder:"N" help:"revision to restore"`
	waitOption
}

type keyCommand struct {
	Issue    *keyIssueCommand    `arg:"subcommand:issue" help:"issue a key for a team and print it; it cannot be shown again"`
	List     *keyListCommand     `arg:"subcommand:list" help:"list keys without their hashes"`
	Withdraw *keyWithdrawCommand `arg:"subcommand:withdraw" help:"make a key unusable and end its sessions"`
}

type keyIssueCommand struct {
	Team string `arg:"positional,required" placeholder:"TEAM" help:"team"`
	waitOption
}

type keyListCommand struct {
	Team string `arg:"positional" placeholder:"TEAM" help:"team [default: all]"`
}

type keyWithdrawCommand struct {
	ID string `arg:"positional,required" placeholder:"ID" help:"id of the key: the part before the dot"`
	waitOption
}

type domainCommand struct {
	Out *domainOutCommand `arg:"subcommand:out" help:"give a failure domain no new work"`
	In  *domainInCommand  `arg:"subcommand:in" help:"give a failure domain work again"`
}

type domainOutCommand struct {
	Name  string `arg:"positional,required" placeholder:"NAME" help:"failure domain"`
	Force bool   `arg:"--force" help:"even if it is the last failure domain that is in"`
	waitOption
}

type domainInCommand struct {
	Name string `arg:"positional,required" placeholder:"NAME" help:"failure domain"`
	waitOption
}

type upstreamCommand struct {
	Leave  *upstreamLeaveCommand  `arg:"subcommand:leave" help:"give an upstream no new work"`
	Return *upstreamReturnCommand `arg:"subcommand:return" help:"give an upstream work again"`
}

type upstreamLeaveCommand struct {
	Name  string `arg:"positional,required" placeholder:"NAME" help:"upstream"`
	Force bool   `arg:"--force" help:"even if it is the last upstream of its group that takes work"`
	waitOption
}

type upstreamReturnCommand struct {
	Name string `arg:"positional,required" placeholder:"NAME" help:"upstream"`
	waitOption
}

type groupCommand struct {
	Switch *groupSwitchCommand `arg:"subcommand:switch" help:"make an upstream the group's primary by a planned switchover"`
}

type groupSwitchCommand struct {
	Name     string `arg:"positional,required" placeholder:"GROUP" help:"group"`
	Upstream string `arg:"positional,required" placeholder:"UPSTREAM" help:"the new primary"`
}

type explainCommand struct {
	ID    string   `arg:"positional,required" help:"the statement's id"`
	Files []string `arg:"positional,required" help:"log files of the instances; - for standard input"`
}

type statusCommand struct{}

type usageCommand struct {
	Count int `arg:"-n" default:"12" placeholder:"COUNT" help:"number of windows"`
}

type whereCommand struct {
	Team     string `arg:"positional,required" placeholder:"TEAM" help:"team; no key is needed"`
	Database string `arg:"positional,required" placeholder:"ROUTE" help:"database name of the route"`
	Kind     string `arg:"positional" default:"read" placeholder:"KIND" help:"read, write or transaction"`
}

// waitOption is the option of the commands that change the configuration.
type waitOption struct {
	Wait bool `arg:"--wait" help:"wait until every live instance reports the change"`
}

// Version returns the text that --version prints.
func (arguments) Version() string { return "burdockctl 0.1.0" }

// Description returns the start of the help text.
func (arguments) Description() string {
	return "burdockctl changes the configuration of a burdockseam fleet and shows its state."
}

// Epilogue returns the end of the help text.
func (arguments) Epilogue() string {
	return `Examples:
  burdockctl --store 10.0.0.5:7000 pull ./config
  burdockctl diff ./config
  burdockctl apply ./config --wait --comment "more for the tailors"
  burdockctl show --revision 41 --json
  burdockctl history -n 5
  burdockctl revert 41 --wait
  burdockctl key issue tailors
  burdockctl key withdraw k4xq7m2ab3 --wait --timeout 15s
  burdockctl domain out kol-a --wait
  burdockctl upstream leave salas1.gdl-a
  burdockctl group switch salas1 salas1.mty-a
  burdockctl explain 5c0e7a21d94b36f8 a.log b.log c.log
  burdockctl status --operator 10.0.0.11:7004
  burdockctl where --operator 10.0.0.11:7004 tailors orders
  burdockctl where --operator 10.0.0.11:7004 tailors orders write --json

A folder remembers its base revision in the file ` + ctl.StateFile + `.
Variables: BURDOCKCTL_CONFIG, _STORE, _OPERATOR, _SECRET, _AUTHOR, _TIMEOUT.

Exit status: 0 success; 1 failure; 2 wrong arguments; 3 conflict with another
operator; 4 invalid configuration; 5 accepted but not in force everywhere in time;
6 outcome unknown.`
}

// resolve sets the options that neither the command line nor the environment has set, from
// the settings file or to their defaults, and validates the result.
func (a *arguments) resolve() error {
	var timeout string
	if a.Timeout != 0 {
		timeout = a.Timeout.String()
	}
	values := map[string]*string{"store": &a.Store, "operator": &a.Operator, "secret": &a.Secret, "author": &a.Author, "timeout": &timeout}
	if a.Config != "" {
		if err := readSettings(a.Config, values); err != nil {
			return err
		}
	}
	a.Timeout = defaultTimeout
	if timeout != "" {
		d, err := time.ParseDuration(timeout)
		if err != nil || d <= 0 {
			return fmt.Errorf("timeout %q is not a positive duration such as 30s", timeout)
		}
		a.Timeout = d
	}
	if a.Author == "" {
		a.Author = "unknown"
		if u, err := user.Current(); err == nil {
			a.Author = u.Username
		}
	}
	var faults []error
	for _, address := range append(a.operatorAddresses(), a.Store) {
		if address == "" {
			continue
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			faults = append(faults, fmt.Errorf("address %q is not of the form IP:PORT", address))
		}
	}
	return errors.Join(faults...)
}

// readSettings sets the values that are still empty from an INI file without sections.
func readSettings(path string, values map[string]*string) error {
	if _, err := os.Stat(path); err != nil {
		return err
	}
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return fmt.Errorf("%s is not a valid INI file", path)
	}
	var faults []error
	for _, s := range file.Sections() {
		if s.Name() != ini.DefaultSection {
			faults = append(faults, fmt.Errorf("%s: unknown section %q", path, s.Name()))
			continue
		}
		for _, k := range s.Keys() {
			value, ok := values[k.Name()]
			switch {
			case !ok:
				faults = append(faults, fmt.Errorf("%s: unknown key %q", path, k.Name()))
			case *value == "":
				*value = k.String()
			}
		}
	}
	return errors.Join(faults...)
}

// operatorAddresses returns the addresses of --operator.
func (a *arguments) operatorAddresses() []string {
	return slices.DeleteFunc(strings.Split(strings.ReplaceAll(a.Operator, " ", ""), ","), func(s string) bool { return s == "" })
}

// newClient returns a client, and a function that closes its connections. The client has no
// store if the address of the store was not given.
func (a *arguments) newClient() (*ctl.Client, func()) {
	c := &ctl.Client{Operators: a.operatorAddresses(), Secret: a.Secret, Author: truncate(a.Author, config.MaxAuthorBytes), Comment: a.Comment}
	if a.Store == "" {
		return c, func() {}
	}
	s := store.New(store.Config{Addr: a.Store, Name: "burdockctl"})
	c.Store = s.ConfigStore()
	return c, s.Close
}

// truncate returns the first n bytes of s, or s if it is not longer.
func truncate(s string, n int) string { return s[:min(len(s), n)] }
