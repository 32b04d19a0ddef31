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
	pollInterval = dotterclock.Millis(100) // between looks at what is waited for, ms
	changeIDSize = 16
)

// editing is what commands that change the configuration share.
type editing struct {
	program *Program

	Change string `long:"change" value-name:"ID" description:"id of the change; give the same one again to repeat a change whose answer was lost"`
	Wait   int64  `long:"wait" value-name:"MS" default:"6000" description:"most to wait for the change to be in force on every entry host that can be reached, in milliseconds; 0 does not wait"`
}

// current fetches the configuration in force.
func (e *editing) current() (dotterconfig.Document, error) {
	var document dotterconfig.Document
	err := e.program.operator().Get(e.program.ctx, "/v1/configuration", &document)
	return document, err
}

// send makes the edits as one change and waits until it is in force.
func (e *editing) send(edits ...dotterconfig.Edit) error {
	if len(edits) == 0 {
		fmt.Fprintln(e.program.errors, "nothing to change")
		return nil
	}
	request := dottermessage.EditRequest{ChangeID: e.changeID(), By: userName(), Edits: edits}
	var answer dottermessage.EditAnswer
	if err := e.program.operator().Post(e.program.ctx, "/v1/configuration/edits", request, &answer); err != nil {
		return fmt.Errorf("change %s: %w", request.ChangeID, err)
	}
	return e.await(answer.Revision)
}

// sendItem makes the edit of one item as one change.
func (e *editing) sendItem(item string, before, after any) error {
	edit, err := dotterconfig.NewEdit(item, before, after)
	if err != nil {
		return err
	}
	return e.send(edit)
}

// await waits until every entry host heard from has revision, and prints which have.
func (e *editing) await(revision int64) error {
	p := e.program
	deadline := p.clock.Now() + dotterclock.Millis(e.Wait)
	for {
		var status dottermessage.StatusAnswer
		if err := p.operator().Get(p.ctx, "/v1/status", &status); err != nil {
			return err
		}
		behind := hostsBehind(status, revision)
		p.progress("revision %d: %d entry hosts behind", revision, len(behind))
		if len(behind) == 0 || e.Wait == 0 {
			p.endProgress()
			return p.printForce(forceAnswer{revision, behind, hostsUnreached(status)})
		}
		if p.clock.Now() >= deadline {
			p.endProgress()
			return fmt.Errorf("revision %d is stored but not in force on %s: %w", revision, strings.Join(behind, ", "), errTimeout)
		}
		<-p.clock.After(pollInterval)
	}
}

func (e *editing) changeID() string {
	if e.Change == "" {
		e.Change = rand.Text()[:changeIDSize]
	}
	return e.Change
}

// forceAnswer says where a revision is in force.
type forceAnswer struct {
	Revision  int64
	Behind    []string // entry hosts that don't have it yet
	Unreached []string // entry hosts of which that isn't known
}

func (p *Program) printForce(f forceAnswer) error {
	rows := [][]string{{fmt.Sprintf("revision %d", f.Revision), inForce(f.Behind)}}
	if len(f.Unreached) > 0 {
		rows = append(rows, []string{"can't be reached:", strings.Join(f.Unreached, ", ")})
	}
	return p.print(f, rows)
}

func hostsBehind(status dottermessage.StatusAnswer, revision int64) []string {
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

func hostsUnreached(status dottermessage.StatusAnswer) []string {
	unreached := []string{}
	for _, h := range status.EntryHosts {
		if !h.Reached {
			unreached = append(unreached, h.Host)
		}
	}
	return unreached
}

func inForce(behind []string) string {
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
