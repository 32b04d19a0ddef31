package dottervacancy

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// classMilliCores are the upper bounds of the size classes, in thousandths of a core.
var classMilliCores = [...]int64{1000, 2000, 4000, 8000, 12_000, 16_000, 20_000, 24_000, 32_000, 48_000, 64_000}

// restartMilliCores are the upper bounds of the size classes of lost long-running tasks. They are closer, since room
// that lies between two bounds is not offered.
var restartMilliCores = [...]int64{
	2000, 4000, 5000, 6000, 7000, 8000, 9000, 10_000, 11_000, 12_000, 13_000, 14_000, 15_000, 16_000, 17_000, 18_000, 19_000, 20_000, 24_000, 32_000, 48_000, 64_000,
}

// memoryPerCoreMB is the memory that a task is assumed to reserve for each core.
const memoryPerCoreMB = 2000

// Vacancy describes a shard.
type Vacancy struct {
	Published bool               `json:",omitempty"` // false in the head of an owner that has not loaded its shard yet
	Services  map[string]Service `json:",omitempty"`
	Pending   map[string]int     `json:",omitempty"` // by queue: jobs of which no task has started
	Outlook   Outlook            `json:",omitzero"`
	Tenants   map[string]Tenant  `json:",omitempty"` // tenants with caps, if there are several shards
	Held      int64              `json:",omitempty"` // memory that the jobs of the shard hold, bytes
	MaxHeld   int64              `json:",omitempty"` // memory that they may hold, bytes; 0: no limit
}

// Tenant describes what the shard has of a tenant's cap, as dotterquota.Part.
type Tenant struct {
	Part   int64 `json:",omitempty"`
	Need   int64 `json:",omitempty"` // that tasks which the cap holds there could use in addition
	Unused int64 `json:",omitempty"` // that nothing there uses while nothing is held

	Spare   int64 `json:",omitempty"` // that nothing there uses although tasks are held
	Lasting int64 `json:",omitempty"` // that long-running tasks there use
	Least   int64 `json:",omitempty"` // the least with which any held task there can start
	Claim   int64 `json:",omitempty"` // that a step there needs in all which has waited for it for long
	Ticket  int64 `json:",omitempty"` // of the claim; that with the least is served first
}

// Service describes the workers of a service that accept starts. Processor time is in
// thousandths of a core.
type Service struct {
	Capacity int64
	Reserved int64                       // by tasks that do not fill
	Unused   int64                       // estimate of what no task uses, which filling tasks can have
	Waiting  int64                       `json:",omitempty"` // declared by waiting tasks that do not fill
	Filling  int64                       `json:",omitempty"` // declared by waiting tasks that fill
	Slots    [len(classMilliCores)]int   // by size class: how many more tasks fit
	Lasting  int                         `json:",omitempty"` // how many more long-running tasks would be started
	Restarts [len(restartMilliCores)]int `json:",omitzero"`  // by size class: how many lost long-running tasks would find room, if need be once quick tasks end
	Labels   []string                    `json:",omitempty"` // of any worker, sorted
}

// class returns the size class of a task, or false if it is larger than any.
func class(size dotterroom.Room) (int, bool) {
	for i, bound := range classMilliCores {
		if size.MilliCores <= bound {
			return i, true
		}
	}
	return 0, false
}

// fitting returns how many tasks of a size class fit into the room.
func fitting(room dotterroom.Room, bound int64) int {
	return int(max(0, min(room.MilliCores/bound, room.MemoryMB*1000/(bound*memoryPerCoreMB))))
}

// AddFree counts the tasks of each size class that fit into the free room of one worker.
func (s *Service) AddFree(free dotterroom.Room) {
	for i, bound := range classMilliCores {
		s.Slots[i] += fitting(free, bound)
	}
}

// AddEmptied counts the lost tasks of each size class that fit into the room of one worker that is
// free or held by tasks that end soon.
func (s *Service) AddEmptied(room dotterroom.Room) {
	for i, bound := range restartMilliCores {
		s.Restarts[i] += fitting(room, bound)
	}
}

// RestartsFor returns how many lost long-running tasks of the size would find room, at least.
func (s Service) RestartsFor(size dotterroom.Room) int {
	size = demand(size)
	for i, bound := range restartMilliCores {
		if size.MilliCores <= bound {
			return s.Restarts[i]
		}
	}
	return 0
}

// WithRestarts returns s after count lost tasks of the size were promised room.
func (s Service) WithRestarts(count int, size dotterroom.Room) Service {
	reduce(s.Restarts[:], restartMilliCores[:], count, demand(size))
	return s
}

// demand returns the size with the processor time of a task that reserves memoryPerCoreMB for each
// core and as much memory.
func demand(size dotterroom.Room) dotterroom.Room {
	size.MilliCores = max(size.MilliCores, size.MemoryMB*1000/memoryPerCoreMB)
	return size
}

// reduce reduces the numbers of tasks that still fit, by size class, by count tasks of the size.
func reduce(fitting []int, bounds []int64, count int, size dotterroom.Room) {
	taken := int64(count) * size.MilliCores
	for i, bound := range bounds {
		fitting[i] = max(0, fitting[i]-int((taken+bound-1)/bound))
	}
}

// SlotsFor returns how many more tasks of the size fit, at least.
func (s Service) SlotsFor(size dotterroom.Room) int {
	i, ok := class(size)
	if !ok {
		return 0
	}
	return s.Slots[i]
}

// WithReserved returns s after count more tasks of the size were placed.
func (s Service) WithReserved(count int, size dotterroom.Room) Service {
	s.Reserved += int64(count) * size.MilliCores
	reduce(s.Slots[:], classMilliCores[:], count, size)
	reduce(s.Restarts[:], restartMilliCores[:], count, demand(size))
	return s
}
