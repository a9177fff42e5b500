/*
Which owners serve which pool, from the configuration and the ownerships.
*/
import {Standing, type Configuration, type Target} from '../../configuration.ts';
import type {Route} from '../../rows.ts';
import {startPeriodIfDue, type World} from '../../world.ts';

/** Period at which the routes are rebuilt, in milliseconds. */
const routesMs = 100;

/** Whether operators let new work go to a target. */
export function isIn(configuration: Configuration, target: Target): boolean {
	return target.standing === Standing.In
		&& configuration.failureDomains.get(target.failureDomain)?.standing !== Standing.Out;
}

function addRoute(world: World, routes: Map<string, Map<string, Route>>, target: Target, pool: string) {
	const owner = world.ownerships.get(target.id)?.owner;
	if (!owner) {
		return;
	}

	const poolRoutes = routes.get(pool) ?? new Map<string, Route>();
	routes.set(pool, poolRoutes);
	const route = poolRoutes.get(owner);
	if (route) {
		route.targets.push(target.id);
		return;
	}

	poolRoutes.set(owner, {owner, targets: [target.id]});
}

/** Rebuilds the routes. */
export function rebuildRoutes(world: World) {
	const routes = new Map<string, Map<string, Route>>();
	for (const target of world.configuration.targets.values()) {
		if (isIn(world.configuration, target)) {
			for (const pool of target.pools) {
				addRoute(world, routes, target, pool);
			}
		}
	}

	world.routesSource = {configuration: world.configuration, ownerships: world.ownerships.version};
	world.routes = new Map([...routes].map(([pool, poolRoutes]) => [pool, [...poolRoutes.values()]]));
}

/** Rebuilds the routes when they are due and what they follow from has changed. */
export function routesSystem(world: World) {
	const {routesSource, configuration, ownerships} = world;
	const isChanged = routesSource?.configuration !== configuration || routesSource.ownerships !== ownerships.version;
	if (isChanged && startPeriodIfDue(world, 'routes', routesMs)) {
		rebuildRoutes(world);
	}
}

/** Owner that can serve a pool at this moment, by the routes. */
export function routesOf(world: World, pool: string): Route[] {
	return world.routes.get(pool) ?? [];
}

/** Whether any target that operators let work go to serves the pool, whoever owns it. */
export function hasTarget(world: World, pool: string): boolean {
	for (const target of world.configuration.targets.values()) {
		if (target.pools.includes(pool) && isIn(world.configuration, target)) {
			return true;
		}
	}

	return false;
}

/** Whether the configuration names the pool at all. */
export function isPool(world: World, pool: string): boolean {
	for (const target of world.configuration.targets.values()) {
		if (target.pools.includes(pool)) {
			return true;
		}
	}

	return false;
}
