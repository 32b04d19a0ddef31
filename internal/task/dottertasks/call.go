package dottertasks

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// registerHandlers registers the methods that other entry hosts call on this one.
func (s *Service) registerHandlers() {
	for method, answer := range map[string]func(context.Context, Call) Reply{
		MethodSubmit: s.answerSubmit,
		MethodGet:    s.answerGet,
		MethodCancel: s.answerCancel,
		MethodAdopt:  s.answerAdopt,
		MethodTotals: s.answerTotals,
		MethodUse:    s.answerUse,
	} {
		s.options.Peers.Handle(method, func(ctx context.Context, _ string, args json.RawMessage) (any, error) {
			var call Call
			if err := json.Unmarshal(args, &call); err != nil {
				return Reply{Code: codeInvalid, Message: err.Error()}, nil
			}
			return answer(ctx, call), nil
		})
	}
}

// call runs a call on the host that owns its shard: by answer if that is this
// host, otherwise remotely. An error means that there is no reply. With
// ErrTaskNotFound and ErrTaskRefused the call was not carried out; with
// ErrTaskIndeterminate it may have been.
func (s *Service) call(ctx context.Context, method string, call Call, answer func(context.Context, Call) Reply) (Reply, error) {
	name, ok := dottershard.ParseName(call.Shard)
	if !ok {
		return Reply{}, eris.Wrapf(dotterelusher.ErrTaskNotFound, "no shard %q", call.Shard)
	}
	if _, local := s.localOwner(name); local {
		return answer(ctx, call), nil
	}
	host, ok := s.ownerHost(name)
	if !ok || host == s.options.Host {
		return Reply{}, eris.Wrapf(dotterelusher.ErrTaskRefused, "shard %s has no owner at the moment", name)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timing.CallTimeout.Duration())
	defer cancel()
	var reply Reply
	if err := s.options.Peers.Call(ctx, host, method, call, &reply); err != nil {
		return Reply{}, peerError(err)
	}
	return reply, nil
}

// ownerHost returns the host that owns the shard, according to the live peers or
// else to the owner keys as last read.
func (s *Service) ownerHost(name dottershard.Name) (string, bool) {
	text := name.String()
	for _, p := range s.options.Peers.Live() {
		for _, owned := range p.Shards {
			if owned == text {
				return p.Name, true
			}
		}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	host, ok := s.ownerHosts[name]
	return host, ok
}

// ownerFor returns this host's owner of the call's shard. If another host owns it
// the caller must refuse the call; it is not forwarded again.
func (s *Service) ownerFor(call Call) (*dotterowner.Owner, bool) {
	name, ok := dottershard.ParseName(call.Shard)
	if !ok {
		return nil, false
	}
	return s.localOwner(name)
}

func notOwner(call Call) Reply {
	return Reply{Code: codeRefused, Message: "this host doesn't own shard " + call.Shard}
}
