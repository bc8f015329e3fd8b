package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is a kind of program.
type Kind struct {
	Name      string
	Urgent    bool
	PerSecond float64
	Turns     float64
	Think     time.Duration
	Fan       float64 // part of the turns that start sub-agents
	AimFactor float64 // of the time on idle targets
	Way       time.Duration
	Worth     float64
	LateWorth float64
	Endless   float64 // part of the programs that start sub-agents until they are stopped
}

const (
	eventsOfTurn   = 5.2
	maxEvents      = 20.0
	eventTime      = 33 * time.Millisecond // 14 steps of an engine
	firstTime      = 22 * time.Millisecond // prompt and first step
	subAgents      = 5
	turnsOfAgent   = 2
	objective      = 200 * time.Millisecond
	endlessRequest = 120 // requests after which the budget of an endless program is spent
)

// tool is a plain request of a program.
type tool struct {
	share   float64
	times   int
	work    time.Duration
	most    time.Duration
	retries int
}

func tools() []tool {
	return []tool{
		{0.7, 2, 52 * time.Millisecond, 213 * time.Millisecond, 1},
		{0.4, 1, 208 * time.Millisecond, 1500 * time.Millisecond, 1},
		{0.2, 1, 139 * time.Millisecond, 593 * time.Millisecond, 2},
	}
}

// call is one request of a program.
type call struct {
	turn    bool
	work    time.Duration // on an idle target
	retries int           // of an attempt
}

// stage is a turn and what follows it.
type stage struct {
	turn   call
	think  time.Duration
	tools  []call
	agents [][]call
}

// program is a drawn program with its course.
type program struct {
	id        string
	kind      *Kind
	workspace string
	stages    []stage
	idle      time.Duration // its time on idle targets
	aim       time.Duration
	requests  int
	endless   bool

	begun    time.Time
	finished time.Time
	failed   bool
	sent     int
}

func exponential(random *rand.Rand, mean, most float64) float64 {
	return min(most, random.ExpFloat64()*mean)
}

func turnOf(random *rand.Rand) call {
	events := 1 + math.Floor(exponential(random, eventsOfTurn-1, maxEvents))
	return call{turn: true, work: firstTime + time.Duration(events*float64(eventTime)), retries: 1}
}

// draw makes a program of a kind.
func draw(random *rand.Rand, kind *Kind, id, workspace string) *program {
	one := &program{id: id, kind: kind, workspace: workspace, endless: random.Float64() < kind.Endless}
	turns := max(1, int(math.Round(kind.Turns*math.Exp(0.4*random.NormFloat64()-0.08))))
	turns = min(turns, int(2*kind.Turns))
	for range turns {
		next := stage{turn: turnOf(random), think: time.Duration(exponential(random, float64(kind.Think), 4*float64(kind.Think)))}
		one.requests++
		slowest := time.Duration(0)
		if random.Float64() < kind.Fan || one.endless {
			for range subAgents {
				var agent []call
				length := time.Duration(0)
				for range turnsOfAgent {
					turn := turnOf(random)
					agent, length = append(agent, turn), length+turn.work
				}
				next.agents = append(next.agents, agent)
				one.requests += turnsOfAgent
				slowest = max(slowest, length)
			}
		} else {
			for _, tool := range tools() {
				for range tool.times {
					if random.Float64() < tool.share {
						work := time.Duration(exponential(random, float64(tool.work), float64(tool.most)))
						next.tools = append(next.tools, call{work: work, retries: tool.retries})
						one.requests++
						slowest = max(slowest, work)
					}
				}
			}
		}
		one.idle += next.turn.work + next.think + slowest
		one.stages = append(one.stages, next)
	}
	one.aim = time.Duration(kind.AimFactor*float64(one.idle+time.Duration(turns)*kind.Way)) + objective
	if one.endless {
		for one.requests < endlessRequest {
			again := one.stages[0]
			one.stages = append(one.stages, again)
			one.requests += 1 + subAgents*turnsOfAgent
		}
	}
	return one
}

// worth is what the program is worth: more for larger ones, up to a bound.
func (program *program) worth(meanIdle time.Duration) float64 {
	if program.endless {
		return 0
	}
	return program.kind.Worth * min(4, 0.3+0.7*float64(program.idle)/float64(meanIdle))
}

// earned is what the program has earned.
func (program *program) earned(meanIdle time.Duration) float64 {
	if program.failed || program.finished.IsZero() {
		return 0
	}
	took := program.finished.Sub(program.begun)
	whole := program.worth(meanIdle)
	switch {
	case took <= program.aim:
		return whole
	case took <= 2*program.aim:
		return whole * program.kind.LateWorth / program.kind.Worth
	default:
		return 0
	}
}
