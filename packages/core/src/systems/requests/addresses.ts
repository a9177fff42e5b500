/*
Router addresses that a caller may use: routers of the caller's failure domain come first. Routers that are leaving or
whose failure domain is taken out are omitted. The order within a domain is random, so that callers spread over the routers.
*/
import {Standing} from '../../configuration.ts';
import {MemberState} from '../../messages.ts';
import type {Member} from '../../rows.ts';
import {shuffle, type World} from '../../world.ts';
import {isCutOff} from '../membership/lease.ts';
import {acceptsTickets} from './ticket-offers.ts';

export type Address = {
	url: string;
	failureDomain: string;
};

/** Maximum number of addresses in one answer. */
const maxAddresses = 8;

function acceptsCallers(world: World, member: Member): boolean {
	const domain = world.configuration.failureDomains.get(member.failureDomain);
	const isServing = member.id !== world.self.id || !isCutOff(world);
	return isServing && member.state === MemberState.Active && domain?.standing !== Standing.Out && acceptsTickets(world, member);
}

/**
Returns addresses for a caller, best first.

@param failureDomain Domain of the caller; that of this router when the caller names none.
*/
export function getAddresses(world: World, failureDomain = world.self.failureDomain): Address[] {
	const available = [...world.members.rows()].filter(member => acceptsCallers(world, member));
	const sameDomain = available.filter(member => member.failureDomain === failureDomain);
	const otherDomains = available.filter(member => member.failureDomain !== failureDomain);
	return [...shuffle(world, sameDomain), ...shuffle(world, otherDomains)]
		.slice(0, maxAddresses)
		.map(member => ({url: member.callerUrl, failureDomain: member.failureDomain}));
}
