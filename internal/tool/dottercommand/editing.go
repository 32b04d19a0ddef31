package dottercommand

import (
	"crypto/rand"
	"fmt"
	"os/user"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
)

const (
	pollInterval   = dotterclock.Millis(100) // interval of status requests while waiting, ms
	changeIDLength = 16
)

// editCommand holds the options that all commands that change the configuration share.
type editCommand struct {
	program *Program

	Change string `long:"change" value-name:"ID" description:"id of the change; give the same one again to repeat a change whose answer was lost"`
	Wait   int64  `long:"wait" value-name:"MS" default:"6000" description:"maximum time to wait for the change to be in force on every entry host that can be reached, in milliseconds; 0 does not wait"`
}

// current fetches the configuration in force.
func (e *editCommand) current() (dotterconfig.Document, error) {
	var document dotterconfig.Document
	err := e.program.operator().Get(e.program.ctx, "/v1/configuration", &document)
	return document, err
}

// send sends the edits as one change and waits until it is in force.
func (e *editCommand) send(edits ...dotterconfig.Edit) error {
	if len(edits) == 0 {
		fmt.Fprintln(e.program.errors, "nothing to change")
		return nil
	}
	request := dottermessage.EditRequest{ChangeID: e.changeID(), By: userName(), Edits: edits}
	var answer dottermessage.EditAnswer
	if err := e.program.operator().Post(e.program.ctx, "/v1/configuration/edits", request, &answer); err != nil {
		return fmt.Errorf("change %s: %w", request.ChangeID, err)
	}
	return e.awaitRevision(answer.Revision)
}

// sendItem sends the edit of one item as one change.
func (e *editCommand) sendItem(item string, before, after any) error {
	edit, err := dotterconfig.NewEdit(item, before, after)
	if err != nil {
		return err
	}
	return e.send(edit)
}

// awaitRevision waits until every reachable entry host has revision, and prints the
// hosts that lag behind or cannot be reached. With a Wait of 0 it looks only once.
func (e *editCommand) awaitRevision(revision int64) error {
	p := e.program
	deadline := p.clock.Now() + dotterclock.Millis(e.Wait)
	for {
		var status dottermessage.StatusAnswer
		if err := p.operator().Get(p.ctx, "/v1/status", &status); err != nil {
			return err
		}
		behind := laggingHosts(status, revision)
		p.progress("revision %d: %d entry hosts behind", revision, len(behind))
		if len(behind) == 0 || e.Wait == 0 {
			p.endProgress()
			return p.printRevision(revisionResult{revision, behind, unreachedHosts(status)})
		}
		if p.clock.Now() >= deadline {
			p.endProgress()
			return fmt.Errorf("revision %d is stored but not in force on %s: %w", revision, strings.Join(behind, ", "), errTimeout)
		}
		<-p.clock.After(pollInterval)
	}
}

// changeID returns the id given as an option, or else a random one.
func (e *editCommand) changeID() string {
	if e.Change == "" {
		e.Change = rand.Text()[:changeIDLength]
	}
	return e.Change
}

// revisionResult lists the entry hosts on which a revision is not known to be in force.
type revisionResult struct {
	Revision  int64
	Behind    []string // entry hosts that don't have it yet
	Unreached []string // entry hosts that can't be reached
}

func (p *Program) printRevision(r revisionResult) error {
	rows := [][]string{{fmt.Sprintf("revision %d", r.Revision), describeInForce(r.Behind)}}
	if len(r.Unreached) > 0 {
		rows = append(rows, []string{"can't be reached:", strings.Join(r.Unreached, ", ")})
	}
	return p.print(r, rows)
}

func laggingHosts(status dottermessage.StatusAnswer, revision int64) []string {
	behind := []string{}
	if status.Revision < revision {
		behind = append(behind, status.Host)
	}
	for _, h := range status.EntryHosts {
		if h.Reached && h.Revision < revision {
			behind = append(behind, h.Host)
		}
	}
	return behind
}

func unreachedHosts(status dottermessage.StatusAnswer) []string {
	unreached := []string{}
	for _, h := range status.EntryHosts {
		if !h.Reached {
			unreached = append(unreached, h.Host)
		}
	}
	return unreached
}

func describeInForce(behind []string) string {
	if len(behind) == 0 {
		return "in force on every entry host that can be reached"
	}
	return "not yet in force on " + strings.Join(behind, ", ")
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}
