package overload

import "sync"

// maxServices bounds the number of controllers. Services that have left the
// configuration are not reported.
const maxServices = 1000

// Controllers contains the controllers of a host, by service. It is safe for concurrent
// use.
type Controllers struct {
	random func() float64

	mutex     sync.Mutex
	byService map[string]*Controller
}

// NewControllers returns controllers with a source of random numbers in [0, 1) that is
// safe for concurrent use.
func NewControllers(random func() float64) *Controllers {
	return &Controllers{random: random, byService: make(map[string]*Controller)}
}

// Service returns the controller of a service.
func (controllers *Controllers) Service(name string) *Controller {
	controllers.mutex.Lock()
	defer controllers.mutex.Unlock()
	if controller, ok := controllers.byService[name]; ok {
		return controller
	}
	if len(controllers.byService) >= maxServices {
		clear(controllers.byService)
	}
	controller := New(controllers.random)
	controllers.byService[name] = controller
	return controller
}
