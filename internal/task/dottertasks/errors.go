package dottertasks

import (
	"errors"

	"github.com/rotisserie/eris"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
)

// code identifies an error in replies between entry hosts.
type code string

const (
	codeNone     code = ""
	codeRefused  code = "Refused"
	codeUnknown  code = "Unknown"
	codeNotFound code = "NotFound"
	codeInvalid  code = "Invalid"
)

// codeOf returns the code of an owner's error.
func codeOf(err error) code {
	switch {
	case err == nil:
		return codeNone
	case errors.Is(err, dotterowner.ErrInvalid):
		return codeInvalid
	case errors.Is(err, dotterowner.ErrNotFound):
		return codeNotFound
	case errors.Is(err, dotterowner.ErrRefused):
		return codeRefused
	}
	return codeUnknown
}

// errorOf returns the task error for a code.
func errorOf(c code, message string) error {
	switch c {
	case codeNone:
		return nil
	case codeInvalid:
		return eris.Wrap(dotterelusher.ErrTaskInvalid, message)
	case codeNotFound:
		return eris.Wrap(dotterelusher.ErrTaskNotFound, message)
	case codeRefused:
		return eris.Wrap(dotterelusher.ErrTaskRefused, message)
	}
	return eris.Wrap(dotterelusher.ErrTaskIndeterminate, message)
}

// peerError returns the task error for an error of a call to a peer.
func peerError(err error) error {
	if errors.Is(err, dotterelusher.ErrPeerUnreachable) {
		return eris.Wrap(dotterelusher.ErrTaskRefused, err.Error())
	}
	return eris.Wrap(dotterelusher.ErrTaskIndeterminate, err.Error())
}
