/*
Builds the replies of the operators' API from the world's tables.
*/
import {Standing} from '@shallotloom/core/configuration.ts';
import {Phase, MemberState} from '@shallotloom/core/messages.ts';
import {
	PhaseName, RouterState, type DomainReply, type MemberReply, type StatusReply, type TargetReply, type WorkspaceReply,
} from '@shallotloom/core/operator-api.ts';
import {computeVirtualTime} from '@shallotloom/core/systems/fair-shares/served-tokens.ts';
import type {World} from '@shallotloom/core/world.ts';

const phaseNames: Record<Phase, PhaseName> = {
	[Phase.Cold]: PhaseName.Cold,
	[Phase.Ramping]: PhaseName.Ramping,
	[Phase.Warm]: PhaseName.Warm,
	[Phase.SetAside]: PhaseName.SetAside,
};

const stateNames: Record<MemberState, RouterState> = {
	[MemberState.Active]: RouterState.Active,
	[MemberState.Leaving]: RouterState.Leaving,
};

/** This router's status, and how many of the members that it knows have its revision in force. */
export function createStatusReply(world: World): StatusReply {
	const {revision} = world.configuration;
	const members = [...world.members.rows()];
	const inForce = members.filter(member => member.id === world.self.id || member.revision >= revision);
	return {
		router: world.self.id,
		failureDomain: world.self.failureDomain,
		revision,
		state: stateNames[world.state],
		leaseAgeMs: Math.max(0, Math.round(world.limits.leaseDurationMs - (world.lease.validUntil - world.now))),
		inForce: {revision, members: inForce.length, of: members.length},
	};
}

/** The members that this router knows. */
export function createMemberReplies(world: World): MemberReply[] {
	return [...world.members.rows()].map(member => ({
		id: member.id,
		failureDomain: member.failureDomain,
		state: stateNames[member.state],
		revision: member.id === world.self.id ? world.configuration.revision : member.revision,
		heardAgeMs: member.id === world.self.id ? 0 : Math.round(world.now - member.lastHeartbeatAt),
		callerUrl: member.callerUrl,
		targets: [...world.ownerships.rows()].filter(({owner}) => owner === member.id).length,
	}));
}

/** Failure domains with the number of their routers and targets. */
export function createDomainReplies(world: World): DomainReply[] {
	const members = [...world.members.rows()];
	const targets = [...world.configuration.targets.values()];
	return [...world.configuration.failureDomains.values()].map(({name, standing}) => {
		const targetsInDomain = targets.filter(({failureDomain}) => failureDomain === name);
		return {
			name,
			standing,
			routers: members.filter(({failureDomain}) => failureDomain === name).length,
			targets: targetsInDomain.length,
			owned: targetsInDomain.filter(({id}) => Boolean(world.ownerships.get(id)?.owner)).length,
		};
	});
}

/** All targets; phase, budget and running requests only for those that this router owns. */
export function createTargetReplies(world: World): TargetReply[] {
	return [...world.configuration.targets.values()].map(target => {
		const ownership = world.ownerships.get(target.id);
		const budget = world.budgets.get(target.id);
		return {
			id: target.id,
			kind: target.kind,
			failureDomain: target.failureDomain,
			pools: target.pools,
			standing: target.standing,
			failureDomainStanding: world.configuration.failureDomains.get(target.failureDomain)?.standing ?? Standing.In,
			owner: ownership?.owner ?? '',
			epoch: ownership?.epoch ?? 0,
			...(budget && {phase: phaseNames[budget.phase], budget: budget.budget, running: world.permits.count(target.id)}),
		};
	});
}

/** Workspaces with their served tokens over all pools, and the difference to their fair share. */
export function createWorkspaceReplies(world: World): WorkspaceReply[] {
	const workspaces = [...world.configuration.workspaces.values()];
	const weights = workspaces.reduce((sum, {weight}) => sum + weight, 0);
	const rows = workspaces.map(({id, weight}) => {
		const services = [...world.servedTokens.rows()].filter(service => service.workspace === id);
		return {
			id,
			weight,
			waiting: services.reduce((sum, service) => sum + service.waiting + service.remoteWaiting, 0),
			running: services.reduce((sum, service) => sum + service.running, 0),
			service: services.reduce((sum, service) => sum + service.local + service.remote, 0),
			virtualTime: services.reduce((sum, service) => sum + computeVirtualTime(world, service), 0),
			share: weight / weights,
		};
	});
	const total = rows.reduce((sum, {service}) => sum + service, 0);
	return rows.map(({virtualTime, ...row}) => ({...row, virtualTime, gapToShare: row.service - (total * row.share)}));
}
