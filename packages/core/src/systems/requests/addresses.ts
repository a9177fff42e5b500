/*
Which routers a caller should use: those of its failure domain first, none that is leaving or in a domain that was taken
out, spread at random so that callers don't gather at one.
*/
import {Standing} from '../../configuration.ts';
import {MemberState} from '../../messages.ts';
import type {Member} from '../../rows.ts';
import {shuffle, type World} from '../../world.ts';
import {isCutOff} from '../membership/lease.ts';
import {canHold} from './placement.ts';

export type Address = {
	url: string;
	failureDomain: string;
};

/** Most addresses in one answer. */
const addressLimit = 8;

function isOpen(world: World, member: Member): boolean {
	const domain = world.configuration.failureDomains.get(member.failureDomain);
	const isServing = member.id !== world.self.id || !isCutOff(world);
	return isServing && member.state === MemberState.Active && domain?.standing !== Standing.Out && canHold(world, member);
}

/**
Addresses for a caller, best first.

@param failureDomain Domain of the caller; that of this router when the caller names none.
*/
export function addresses(world: World, failureDomain = world.self.failureDomain): Address[] {
	const open = [...world.members.rows()].filter(member => isOpen(world, member));
	const near = open.filter(member => member.failureDomain === failureDomain);
	const far = open.filter(member => member.failureDomain !== failureDomain);
	return [...shuffle(world, near), ...shuffle(world, far)]
		.slice(0, addressLimit)
		.map(member => ({url: member.callerUrl, failureDomain: member.failureDomain}));
}
