package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// ProgramKind describes the distribution from which programs of a kind are drawn.
type ProgramKind struct {
	Name              string
	Urgent            bool // the route has the highest priority
	ProgramsPerSecond float64
	MeanTurns         float64
	MeanThinkTime     time.Duration // between the response to a turn and the calls that follow it
	SubAgentShare     float64       // fraction of the turns that start sub-agents
	TimeLimitFactor   float64       // time limit relative to the time on idle targets plus the turn overhead
	TurnOverhead      time.Duration // allowance for each turn in the time limit
	Worth             float64       // worth of a program of mean size that ends within its time limit
	LateWorth         float64       // worth of a program that ends late, but within twice its time limit
	EndlessShare      float64       // fraction of the programs that start sub-agents until they are stopped
}

const (
	meanTurnEvents   = 5.2                   // events streamed in the response to a turn
	maxExtraEvents   = 20.0                  // beyond the first event of a turn
	eventTime        = 33 * time.Millisecond // time between two events, which is 14 decoding steps of an engine
	prefillTime      = 22 * time.Millisecond // prompt processing and the first decoding step
	subAgentsPerTurn = 5
	turnsPerSubAgent = 2
	timeLimitMargin  = 200 * time.Millisecond // added to the time limit of every program
	endlessRequests  = 120                    // requests that exhaust the budget of an endless program
)

// tool describes the calls of a plain service that may follow a turn.
type tool struct {
	probability float64       // that each of the calls is made
	count       int           // calls that may follow one turn
	work        time.Duration // mean duration on an idle target
	maxWork     time.Duration
	retries     int
}

func tools() []tool {
	return []tool{
		{0.7, 2, 52 * time.Millisecond, 213 * time.Millisecond, 1},
		{0.4, 1, 208 * time.Millisecond, 1500 * time.Millisecond, 1},
		{0.2, 1, 139 * time.Millisecond, 593 * time.Millisecond, 2},
	}
}

// call is one request of a program, to an engine for a turn and to a plain
// service otherwise.
type call struct {
	isTurn  bool
	starts  bool          // first turn of a program or of a sub-agent
	work    time.Duration // duration on an idle target
	retries int           // after the first attempt
}

// stage is a turn and the tool calls or sub-agents that start when its think time
// has passed.
type stage struct {
	turn      call
	think     time.Duration
	tools     []call
	subAgents [][]call // turns by sub-agent
}

// program is a randomly drawn program with its progress in the simulation.
type program struct {
	id           string
	kind         *ProgramKind
	workspace    string
	stages       []stage
	unloadedTime time.Duration // duration on idle targets, including the think times
	timeLimit    time.Duration // from the start of the program
	requests     int
	endless      bool // starts sub-agents until it is stopped, and is worth nothing

	started  time.Time
	finished time.Time // zero if the program has not ended
	failed   bool
	attempts int // admitted attempts of all its calls
}

// exponential returns an exponentially distributed value that is capped at upper.
func exponential(random *rand.Rand, mean, upper float64) float64 {
	return min(upper, random.ExpFloat64()*mean)
}

// drawTurn returns a random turn.
func drawTurn(random *rand.Rand) call {
	events := 1 + math.Floor(exponential(random, meanTurnEvents-1, maxExtraEvents))
	return call{isTurn: true, work: prefillTime + time.Duration(events*float64(eventTime)), retries: 1}
}

// drawProgram returns a random program of a kind.
func drawProgram(random *rand.Rand, kind *ProgramKind, id, workspace string) *program {
	program := &program{id: id, kind: kind, workspace: workspace, endless: random.Float64() < kind.EndlessShare}
	turns := max(1, int(math.Round(kind.MeanTurns*math.Exp(0.4*random.NormFloat64()-0.08))))
	turns = min(turns, int(2*kind.MeanTurns))
	for range turns {
		next := stage{turn: drawTurn(random), think: time.Duration(exponential(random, float64(kind.MeanThinkTime), 4*float64(kind.MeanThinkTime)))}
		program.requests++
		slowest := time.Duration(0)
		if random.Float64() < kind.SubAgentShare || program.endless {
			for range subAgentsPerTurn {
				var subAgent []call
				agentTime := time.Duration(0)
				for range turnsPerSubAgent {
					turn := drawTurn(random)
					turn.starts = len(subAgent) == 0
					subAgent, agentTime = append(subAgent, turn), agentTime+turn.work
				}
				next.subAgents = append(next.subAgents, subAgent)
				program.requests += turnsPerSubAgent
				slowest = max(slowest, agentTime)
			}
		} else {
			for _, tool := range tools() {
				for range tool.count {
					if random.Float64() < tool.probability {
						work := time.Duration(exponential(random, float64(tool.work), float64(tool.maxWork)))
						next.tools = append(next.tools, call{work: work, retries: tool.retries})
						program.requests++
						slowest = max(slowest, work)
					}
				}
			}
		}
		next.turn.starts = len(program.stages) == 0
		program.unloadedTime += next.turn.work + next.think + slowest
		program.stages = append(program.stages, next)
	}
	program.timeLimit = time.Duration(kind.TimeLimitFactor*float64(program.unloadedTime+time.Duration(turns)*kind.TurnOverhead)) + timeLimitMargin
	if program.endless {
		for program.requests < endlessRequests {
			repeated := program.stages[0]
			repeated.turn.starts = false
			program.stages = append(program.stages, repeated)
			program.requests += 1 + subAgentsPerTurn*turnsPerSubAgent
		}
	}
	return program
}

// worth returns the worth of the program if it ends within its time limit. It
// grows with the size of the program, up to four times the worth of its kind.
func (program *program) worth(meanUnloadedTime time.Duration) float64 {
	if program.endless {
		return 0
	}
	return program.kind.Worth * min(4, 0.3+0.7*float64(program.unloadedTime)/float64(meanUnloadedTime))
}

// earned returns the worth that the program has achieved: the full worth within
// its time limit, the late worth within twice that limit, and none afterwards.
func (program *program) earned(meanUnloadedTime time.Duration) float64 {
	if program.failed || program.finished.IsZero() {
		return 0
	}
	duration := program.finished.Sub(program.started)
	fullWorth := program.worth(meanUnloadedTime)
	switch {
	case duration <= program.timeLimit:
		return fullWorth
	case duration <= 2*program.timeLimit:
		return fullWorth * program.kind.LateWorth / program.kind.Worth
	default:
		return 0
	}
}
