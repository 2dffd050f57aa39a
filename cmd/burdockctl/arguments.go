package main

// The arguments. Options are taken from the command line, then from BURDOCKCTL_*
// variables, then from the settings file.

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
	Pull     *pullCommand     `arg:"subcommand:pull" help:"bring a folder to the accepted revision"`
	Show     *showCommand     `arg:"subcommand:show" help:"show a revision with the file that each value comes from"`
	History  *historyCommand  `arg:"subcommand:history" help:"list the newest changes"`
	Revert   *revertCommand   `arg:"subcommand:revert" help:"make an earlier revision's files a new revision"`
	Key      *keyCommand      `arg:"subcommand:key" help:"issue, list and withdraw keys"`
	Domain   *domainCommand   `arg:"subcommand:domain" help:"take a failure domain out or in"`
	Upstream *upstreamCommand `arg:"subcommand:upstream" help:"let an upstream leave or return"`
	Group    *groupCommand    `arg:"subcommand:group" help:"move a group's primary"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"find the cause of a failed request in log files"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show the state of all instances"`

	Config   string        `arg:"--config,env:BURDOCKCTL_CONFIG" placeholder:"FILE" help:"settings file (INI) with store, operator, secret, author, timeout"`
	Store    string        `arg:"--store,env:BURDOCKCTL_STORE" placeholder:"IP:PORT" help:"the store"`
	Operator string        `arg:"--operator,env:BURDOCKCTL_OPERATOR" placeholder:"IP:PORT" help:"the operators' port of any instance; several are separated by commas"`
	Author   string        `arg:"--author,env:BURDOCKCTL_AUTHOR" placeholder:"NAME" help:"author of a change [default: the user's name]"`
	Comment  string        `arg:"--comment" placeholder:"TEXT" help:"comment of a change"`
	Timeout  time.Duration `arg:"--timeout,env:BURDOCKCTL_TIMEOUT" placeholder:"TIME" help:"how long to try and to wait [default: 30s]"`
	JSON     bool          `arg:"--json" help:"print the result as JSON"`
	// Secret is no option, because the arguments of a process can be seen by others.
	Secret string `arg:"--,env:BURDOCKCTL_SECRET"`
}

type applyCommand struct {
	Dir  string `arg:"positional,required" placeholder:"DIR" help:"configuration folder"`
	Base *int64 `arg:"--base" placeholder:"N" help:"revision that the folder was made from [default: as remembered in the folder]"`
	waiting
}

type diffCommand struct {
	Dir  string `arg:"positional,required" placeholder:"DIR" help:"configuration folder"`
	Base *int64 `arg:"--base" placeholder:"N" help:"revision that the folder was made from [default: as remembered in the folder]"`
}

type pullCommand struct {
	Dir  string `arg:"positional,required" placeholder:"DIR" help:"configuration folder; it is created if need be"`
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
	waiting
}

type keyCommand struct {
	Issue    *keyIssueCommand    `arg:"subcommand:issue" help:"make a key for a team and print it once"`
	List     *keyListCommand     `arg:"subcommand:list" help:"list keys without their hashes"`
	Withdraw *keyWithdrawCommand `arg:"subcommand:withdraw" help:"make a key unusable and end its sessions"`
}

type keyIssueCommand struct {
	Team string `arg:"positional,required" placeholder:"TEAM" help:"team"`
	waiting
}

type keyListCommand struct {
	Team string `arg:"positional" placeholder:"TEAM" help:"team [default: all]"`
}

type keyWithdrawCommand struct {
	ID string `arg:"positional,required" placeholder:"ID" help:"id of the key: the part before the dot"`
	waiting
}

type domainCommand struct {
	Out *domainOutCommand `arg:"subcommand:out" help:"give a failure domain no new work"`
	In  *domainInCommand  `arg:"subcommand:in" help:"give a failure domain work again"`
}

type domainOutCommand struct {
	Name  string `arg:"positional,required" placeholder:"NAME" help:"failure domain"`
	Force bool   `arg:"--force" help:"also if it is the last one that is in"`
	waiting
}

type domainInCommand struct {
	Name string `arg:"positional,required" placeholder:"NAME" help:"failure domain"`
	waiting
}

type upstreamCommand struct {
	Leave  *upstreamLeaveCommand  `arg:"subcommand:leave" help:"give an upstream no new work"`
	Return *upstreamReturnCommand `arg:"subcommand:return" help:"give an upstream work again"`
}

type upstreamLeaveCommand struct {
	Name  string `arg:"positional,required" placeholder:"NAME" help:"upstream"`
	Force bool   `arg:"--force" help:"also if it is the last one of its group that takes work"`
	waiting
}

type upstreamReturnCommand struct {
	Name string `arg:"positional,required" placeholder:"NAME" help:"upstream"`
	waiting
}

type groupCommand struct {
	Switch *groupSwitchCommand `arg:"subcommand:switch" help:"move a group's primary to an upstream by a planned switch"`
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

// waiting is the option of the commands that change the configuration.
type waiting struct {
	Wait bool `arg:"--wait" help:"wait until every live instance reports the change"`
}

// Version implements the --version option.
func (arguments) Version() string { return "burdockctl 0.1.0" }

// Description implements the start of the help text.
func (arguments) Description() string {
	return "burdockctl changes the configuration of a burdockseam fleet and shows its state."
}

// Epilogue implements the end of the help text.
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

A folder remembers its base revision in the file ` + ctl.StateFile + `.
Variables: BURDOCKCTL_CONFIG, _STORE, _OPERATOR, _SECRET, _AUTHOR, _TIMEOUT.

Exit status: 0 success; 1 failure; 2 wrong arguments; 3 conflict with another
operator; 4 invalid configuration; 5 accepted but not in force everywhere in time;
6 outcome unknown.`
}

// complete fills in what the command line and the environment left open.
func (a *arguments) complete() error {
	var text string
	if a.Timeout != 0 {
		text = a.Timeout.String()
	}
	values := map[string]*string{"store": &a.Store, "operator": &a.Operator, "secret": &a.Secret, "author": &a.Author, "timeout": &text}
	if a.Config != "" {
		if err := readSettings(a.Config, values); err != nil {
			return err
		}
	}
	a.Timeout = defaultTimeout
	if text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return fmt.Errorf("timeout %q is not a positive time such as 30s", text)
		}
		a.Timeout = d
	}
	if a.Author == "" {
		a.Author = "unknown"
		if u, err := user.Current(); err == nil {
			a.Author = u.Username
		}
	}
	var wrong []error
	for _, address := range append(a.operators(), a.Store) {
		if address == "" {
			continue
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			wrong = append(wrong, fmt.Errorf("%q is not of the form IP:PORT", address))
		}
	}
	return errors.Join(wrong...)
}

// readSettings fills the values that are empty from an INI file without sections.
func readSettings(path string, values map[string]*string) error {
	if _, err := os.Stat(path); err != nil {
		return err
	}
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return fmt.Errorf("%s is not a valid INI file", path)
	}
	var wrong []error
	for _, s := range file.Sections() {
		if s.Name() != ini.DefaultSection {
			wrong = append(wrong, fmt.Errorf("%s: unknown section %s", path, s.Name()))
			continue
		}
		for _, k := range s.Keys() {
			value, ok := values[k.Name()]
			switch {
			case !ok:
				wrong = append(wrong, fmt.Errorf("%s: unknown key %s", path, k.Name()))
			case *value == "":
				*value = k.String()
			}
		}
	}
	return errors.Join(wrong...)
}

func (a *arguments) operators() []string {
	return slices.DeleteFunc(strings.Split(strings.ReplaceAll(a.Operator, " ", ""), ","), func(s string) bool { return s == "" })
}

// client returns the client and what ends its connections.
func (a *arguments) client() (*ctl.Client, func()) {
	c := &ctl.Client{Operators: a.operators(), Secret: a.Secret, Author: limit(a.Author, config.MaxAuthorBytes), Comment: a.Comment}
	if a.Store == "" {
		return c, func() {}
	}
	s := store.New(store.Config{Addr: a.Store, Name: "burdockctl"})
	c.Store = s.ConfigStore()
	return c, s.Close
}

func limit(s string, n int) string { return s[:min(len(s), n)] }
