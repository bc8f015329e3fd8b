package quota

import "time"

// course is one program under way.
type course struct {
	id    string
	route string
	used  int
	rate  float64
	begun time.Time
	last  time.Time
	left  time.Duration // that it had at its first request
}

// end is when the program will probably have ended.
func (course *course) end(usual *usual) time.Time {
	if course.left <= 0 {
		return course.last.Add(pauseTime)
	}
	return course.begun.Add(time.Duration(float64(course.left) * usual.part))
}

// need returns the requests that the program probably needs within a time.
func (course *course) need(usual *usual, horizon time.Duration, now time.Time) float64 {
	silent := now.Sub(course.last)
	rest := course.end(usual).Sub(now)
	if silent >= pauseTime || rest <= 0 && silent >= shortPause {
		return 0
	}
	return course.rate * min(horizon, max(rest, shortPause)).Seconds()
}

// Habits are what programs that begin on each route usually need. Workspaces
// share them.
type Habits struct{ byRoute map[string]*usual }

// NewHabits returns habits that know no route.
func NewHabits() *Habits { return &Habits{byRoute: make(map[string]*usual)} }

// usual is the average program that begins on a route.
type usual struct {
	length float64
	span   time.Duration
	part   float64 // of the time that it had left at its first request, that it took
}

func (usual *usual) rate() float64 { return usual.length / max(usual.span, leastSpan).Seconds() }

func (habits *Habits) of(route string) *usual {
	one, ok := habits.byRoute[route]
	if !ok {
		one = &usual{length: firstLength, span: firstSpan, part: firstPart}
		habits.byRoute[route] = one
	}
	return one
}

// learn counts a program that has ended.
func (habits *Habits) learn(course *course) {
	usual := habits.of(course.route)
	usual.length += lengthWeight * (float64(course.used) - usual.length)
	span := course.last.Sub(course.begun)
	usual.span += time.Duration(lengthWeight * float64(span-usual.span))
	if course.left > 0 {
		usual.part += lengthWeight * (min(1, float64(span)/float64(course.left)) - usual.part)
	}
}
