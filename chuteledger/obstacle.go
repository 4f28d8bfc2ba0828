package chuteledger

import (
	"time"

	"monsoonchute.example/monsoonchute/chutepool"
)

// Obstacle is what keeps new runs off a worker.
type Obstacle int

// The obstacles, of which a worker may have several; the first counts.
const (
	ObstacleNone        Obstacle = iota // new runs may start
	ObstacleUnlisted                    // it has no entry in the list of workers
	ObstacleDraining                    // it is about to leave
	ObstacleLost                        // nothing can run on it any more
	ObstacleZoneOut                     // its availability zone is out
	ObstacleMaintenance                 // its machine goes down soon
	ObstacleFinalLease                  // its lease is not extended
	ObstacleListOld                     // the list of workers is too old
	ObstacleZonesOld                    // it is not known for too long which zones are out
)

var obstacleNames = []string{"none", "unlisted", "draining", "lost", "zone-out", "maintenance", "final-lease", "list-old", "zones-old"}

// String returns the kebab-case name of the obstacle.
func (o Obstacle) String() string {
	if o < ObstacleNone || o > ObstacleZonesOld {
		return "invalid"
	}
	return obstacleNames[o]
}

// maxListAge is the age of the list of workers beyond which nothing starts, since workers may have shrunk or begun to
// drain.
const maxListAge = 3 * time.Second

// StartObstacle returns what keeps new runs off the worker.
func (t *Transition) StartObstacle(w chutepool.Worker) Obstacle {
	switch {
	case !w.Listed:
		return ObstacleUnlisted
	case w.Draining:
		return ObstacleDraining
	case w.Lost:
		return ObstacleLost
	case t.Environment.EvacuatedZones[w.Zone]:
		return ObstacleZoneOut
	case t.Cordoned[w.ID]:
		return ObstacleMaintenance
	case t.FinalLeases[w.ID]:
		return ObstacleFinalLease
	case t.List.Age(t.Now) > maxListAge:
		return ObstacleListOld
	case t.Environment.OperatorsOld:
		return ObstacleZonesOld
	}
	return ObstacleNone
}

// MayStartOn reports whether new runs may start on the worker.
func (t *Transition) MayStartOn(w chutepool.Worker) bool {
	return t.StartObstacle(w) == ObstacleNone
}
