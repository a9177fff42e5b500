/*
Computes the preferred owner of each target: rendezvous hashing with bounded load over the available members of the
target's failure domain, or over all available members where that domain has none. Routers that see the same members and
configuration compute the same result.
*/
import type {Target} from '../../configuration.ts';
import {selectByRendezvous} from '../../rendezvous-hash.ts';
import type {Member} from '../../rows.ts';
import type {World} from '../../world.ts';
import {getAvailableMembers} from '../membership/membership.ts';

/** Updates the preferred owner of each configured target, and the time since which it has been the preferred one. */
export function updatePreferredOwners(world: World) {
	const available = getAvailableMembers(world);
	const cacheKey = [world.configuration.revision, ...available.map(member => `${member.id}/${member.failureDomain}`)].join(' ');
	if (cacheKey === world.preferredOwnerCache.cacheKey) {
		return;
	}

	world.preferredOwnerCache = {cacheKey, owners: computePreferredOwners([...world.configuration.targets.values()], available)};
	for (const preferred of world.preferredOwners.rows()) {
		if (!world.preferredOwnerCache.owners.has(preferred.target)) {
			world.preferredOwners.delete(preferred.target);
		}
	}

	for (const [target, member] of world.preferredOwnerCache.owners) {
		if (world.preferredOwners.get(target)?.member !== member) {
			world.preferredOwners.set({target, member, stableSince: world.now});
		}
	}
}

/** Preferred owners by target; empty when no member is available. */
export function computePreferredOwners(targets: readonly Target[], available: readonly Member[]): Map<string, string> {
	const owners = new Map<string, string>();
	const domains = groupBy(available, member => member.failureDomain);
	const groups = groupBy(targets, target => domains.has(target.failureDomain) ? target.failureDomain : '');
	for (const [failureDomain, group] of groups) {
		assignTargets(group, domains.get(failureDomain) ?? available, owners);
	}

	return owners;
}

function groupBy<Item>(items: readonly Item[], getKey: (item: Item) => string): Map<string, Item[]> {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const key = getKey(item);
		const group = groups.get(key) ?? [];
		group.push(item);
		groups.set(key, group);
	}

	return groups;
}

/** Assigns each target, in the order of their ids, to the member with the best score that has less than an equal share. */
function assignTargets(targets: readonly Target[], members: readonly Member[], owners: Map<string, string>) {
	const share = Math.ceil(targets.length / members.length);
	const loads = new Map<string, number>();
	const memberIds = members.map(member => member.id);
	for (const id of targets.map(target => target.id).toSorted()) {
		const owner = selectByRendezvous(id, memberIds.filter(memberId => (loads.get(memberId) ?? 0) < share), memberId => memberId);
		if (owner !== undefined) {
			loads.set(owner, (loads.get(owner) ?? 0) + 1);
			owners.set(id, owner);
		}
	}
}
