package dotterscheduler

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterentry"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterhome"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterpartition"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

const (
	// partitionPollInterval is how often a host reads the partition, and then the directory,
	// until there is one.
	partitionPollInterval = 400 * dotterclock.Millisecond
	// partitionTimeout bounds one reading of the partition, a single key.
	partitionTimeout = 800 * dotterclock.Millisecond
	// settledReadings is how many times in a row the directory must show as many workers
	// before a partition is made of them.
	settledReadings = 2
	// weakPartitionDelay is how long weak hosts leave it to others to make the partition.
	weakPartitionDelay = 4 * dotterclock.Second
)

// awaitPartition returns the stored partition. If there is none yet, it makes one of the
// workers in the directory. It returns false if ctx ends first.
func (s *Scheduler) awaitPartition(ctx context.Context) (dotterpartition.Partition, bool) {
	startedAt := s.clock.Now()
	previous, settled := -1, 0
	for ctx.Err() == nil {
		p, err := s.readPartition(ctx)
		if err == nil {
			s.logger.Info("partition read", zap.Any("Shards", p.Shards))
			return p, true
		}
		mayCreate := errors.Is(err, dotterelusher.ErrStoreNotFound) && (!s.settings.Weak || s.clock.Now()-startedAt > weakPartitionDelay)
		if !errors.Is(err, dotterelusher.ErrStoreNotFound) && ctx.Err() == nil {
			s.logger.Warn("partition not read", zap.String("Key", dotterentry.PartitionKey), zap.Error(err))
		}
		if mayCreate {
			workers, err := s.listWorkers(ctx)
			if err != nil || len(workers) == 0 || len(workers) != previous {
				settled = 0
			}
			previous = len(workers)
			if settled++; settled > settledReadings {
				s.createPartition(ctx, workers)
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(partitionPollInterval):
		}
	}
	return dotterpartition.Partition{}, false
}

func (s *Scheduler) readPartition(ctx context.Context) (dotterpartition.Partition, error) {
	call, cancel := context.WithTimeout(ctx, partitionTimeout.Duration())
	defer cancel()
	var p dotterpartition.Partition
	stored, err := s.platform.Store.Get(call, dotterentry.PartitionKey)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(stored.Value, &p); err != nil {
		return p, err
	}
	return p, p.Check()
}

// listWorkers returns the workers in the directory.
func (s *Scheduler) listWorkers(ctx context.Context) (map[string]dotterworker.Worker, error) {
	call, cancel := context.WithTimeout(ctx, maxLoadTimeout.Duration())
	defer cancel()
	entries, _, err := s.platform.Store.List(call, s.platform.DirectoryPrefix)
	if err != nil {
		return nil, err
	}
	var listed map[string]dotterworker.Worker
	s.platform.NewDirectorySink(func(workers map[string]dotterworker.Worker) { listed = workers }).Reset(entries)
	return listed, nil
}

// createPartition stores a partition of the workers unless another host was faster.
func (s *Scheduler) createPartition(ctx context.Context, workers map[string]dotterworker.Worker) {
	p := dotterpartition.New(workers, s.settings.maxShardWorkers())
	value, err := json.Marshal(p)
	if err != nil {
		s.logger.Error("partition not encoded", zap.Int("Shards", len(p.Shards)), zap.Error(err))
		return
	}
	call, cancel := context.WithTimeout(ctx, maxLoadTimeout.Duration())
	defer cancel()
	_, err = s.platform.Store.Put(call, dotterentry.PartitionKey, value, 0, "")
	s.logger.Info("partition made", zap.Int("Workers", len(workers)), zap.Any("Shards", p.Shards), zap.Error(err))
}

// shardStates returns what this host knows of all shards.
func (s *Scheduler) shardStates() []dotterhome.Candidate {
	p, c := s.partition.Load(), s.configuration.Load()
	if p == nil || c == nil {
		return nil
	}
	var states []dotterhome.Candidate
	for _, shard := range p.Shards {
		owner, _ := s.elector.Owner(shard.Name)
		out := len(shard.Domains) > 0
		for _, domain := range shard.Domains {
			out = out && c.outDomains[domain]
		}
		states = append(states, dotterhome.Candidate{
			Shard: shard.Name, Vacancy: owner.Vacancy, Live: s.elector.Live(shard.Name), Out: out,
		})
	}
	return states
}

// Home implements dotterentry.Boards.
func (s *Scheduler) Home(j dotterjob.Job) (shard string, ok bool) {
	candidates := s.shardStates()
	if len(candidates) == 0 {
		return "", false
	}
	queue, _ := s.configuration.Load().document.Queue(j.Queue)
	return dotterhome.Choose(candidates, j, queue.Service, rand.Float64()), true
}

// Queue implements dotterentry.Boards.
func (s *Scheduler) Queue(name string) (dotterqueues.Queue, bool) {
	c := s.configuration.Load()
	if c == nil {
		return dotterqueues.Queue{}, false
	}
	return c.document.Queue(name)
}

// peersOf returns the shards to which tasks of the shard may be handed over.
func (s *Scheduler) peersOf(shard string) []dotterboard.Peer {
	var peers []dotterboard.Peer
	for _, state := range s.shardStates() {
		if state.Shard != shard && state.Live && !state.Out {
			peers = append(peers, dotterboard.Peer{Shard: state.Shard, Vacancy: state.Vacancy, SeenAt: s.elector.SeenAt(state.Shard)})
		}
	}
	return peers
}
