/*
Routes: the owners of the targets that serve each pool, derived from the configuration and the ownerships.
*/
import {Standing, type Configuration, type Target} from '../../configuration.ts';
import type {Route} from '../../rows.ts';
import {startPeriodIfDue, type World} from '../../world.ts';

/** Minimum time between two rebuilds of the routes, in milliseconds. */
const routesPeriodMs = 100;

/** Whether operators let a target have new work: neither the target nor its failure domain is taken out. */
export function isStandingIn(configuration: Configuration, target: Target): boolean {
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

export function rebuildRoutes(world: World) {
	const routes = new Map<string, Map<string, Route>>();
	for (const target of world.configuration.targets.values()) {
		if (isStandingIn(world.configuration, target)) {
			for (const pool of target.pools) {
				addRoute(world, routes, target, pool);
			}
		}
	}

	world.routesSource = {configuration: world.configuration, ownerships: world.ownerships.version};
	world.routes = new Map([...routes].map(([pool, poolRoutes]) => [pool, [...poolRoutes.values()]]));
}

/** Rebuilds the routes when the configuration or an ownership has changed, at most once per period. */
export function routesSystem(world: World) {
	const {routesSource, configuration, ownerships} = world;
	const isChanged = routesSource?.configuration !== configuration || routesSource.ownerships !== ownerships.version;
	if (isChanged && startPeriodIfDue(world, 'routes', routesPeriodMs)) {
		rebuildRoutes(world);
	}
}

/** Returns the owners that can serve a pool, with their targets. */
export function getRoutes(world: World, pool: string): Route[] {
	return world.routes.get(pool) ?? [];
}

/** Whether the pool has a target that may have new work, whether or not the target has an owner. */
export function hasAvailableTarget(world: World, pool: string): boolean {
	for (const target of world.configuration.targets.values()) {
		if (target.pools.includes(pool) && isStandingIn(world.configuration, target)) {
			return true;
		}
	}

	return false;
}

/** Whether any target of the configuration, also one that is taken out, serves the pool. */
export function isConfiguredPool(world: World, pool: string): boolean {
	for (const target of world.configuration.targets.values()) {
		if (target.pools.includes(pool)) {
			return true;
		}
	}

	return false;
}
