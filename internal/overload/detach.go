package overload

import "maps"

// Detach returns controllers that decide on programs of a service as these would now, and
// share no state with them.
func (controllers *Controllers) Detach(service string, random func() float64) *Controllers {
	detached := NewControllers(random)
	controllers.mutex.Lock()
	controller, known := controllers.byService[service]
	controllers.mutex.Unlock()
	if known {
		detached.byService[service] = controller.detach(random)
	}
	return detached
}

func (controller *Controller) detach(random func() float64) *Controller {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	detached := &Controller{
		random: random, averages: controller.averages, tokens: controller.tokens, hosts: controller.hosts, filled: controller.filled,
		usage: usage{workspaces: maps.Clone(controller.usage.workspaces), updated: controller.usage.updated},
	}
	for name, workspace := range detached.usage.workspaces {
		copied := *workspace
		detached.usage.workspaces[name] = &copied
	}
	return detached
}
