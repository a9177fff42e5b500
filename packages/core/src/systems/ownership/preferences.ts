/*
Chooses the preferred owner of each target: rendezvous hashing with bounded load over the live members of the target's
failure domain, or over all live members where it has none. Every router that sees the same members and configuration
chooses the same.
*/
import type {Target} from '../../configuration.ts';
import {selectByRendezvous} from '../../rendezvous-hash.ts';
import type {Member} from '../../rows.ts';
import type {World} from '../../world.ts';
import {liveMembers} from '../membership/membership.ts';

/** Updates the preferred owner of each configured target, and since when it is preferred. */
export function updatePreferences(world: World) {
	const live = liveMembers(world);
	const view = [world.configuration.revision, ...live.map(member => `${member.id}/${member.failureDomain}`)].join(' ');
	if (view === world.preferredOwnerCache.cacheKey) {
		return;
	}

	world.preferredOwnerCache = {cacheKey: view, owners: preferredOwners([...world.configuration.targets.values()], live)};
	for (const preference of world.preferredOwners.rows()) {
		if (!world.preferredOwnerCache.owners.has(preference.target)) {
			world.preferredOwners.delete(preference.target);
		}
	}

	for (const [target, member] of world.preferredOwnerCache.owners) {
		if (world.preferredOwners.get(target)?.member !== member) {
			world.preferredOwners.set({target, member, stableSince: world.now});
		}
	}
}

/** Preferred owner of each target, by target; no entry where there is no live member. */
export function preferredOwners(targets: readonly Target[], live: readonly Member[]): Map<string, string> {
	const owners = new Map<string, string>();
	const domains = groupBy(live, member => member.failureDomain);
	const groups = groupBy(targets, target => domains.has(target.failureDomain) ? target.failureDomain : '');
	for (const [failureDomain, group] of groups) {
		assign(group, domains.get(failureDomain) ?? live, owners);
	}

	return owners;
}

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		const group = groups.get(key) ?? [];
		group.push(item);
		groups.set(key, group);
	}

	return groups;
}

/** Gives each target to its best member that has less than an equal share, in the order of their names. */
function assign(targets: readonly Target[], members: readonly Member[], owners: Map<string, string>) {
	const share = Math.ceil(targets.length / members.length);
	const loads = new Map<string, number>();
	const names = members.map(member => member.id);
	for (const id of targets.map(target => target.id).toSorted()) {
		const owner = selectByRendezvous(id, names.filter(name => (loads.get(name) ?? 0) < share), name => name);
		if (owner !== undefined) {
			loads.set(owner, (loads.get(owner) ?? 0) + 1);
			owners.set(id, owner);
		}
	}
}
