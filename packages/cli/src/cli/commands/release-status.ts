/*
`release status`: on how many routers the revision is in force, and which are behind.
*/
import type {MemberReply, StatusReply} from '@shallotloom/core/operator-api.ts';
import {ageText} from '../../table-text.ts';
import {report, type Command} from '../command.ts';

export const releaseStatus: Command = {
	usage: 'release status',
	describe: 'Show on how many routers the revision is in force',
	example: 'release status --json',
	async run({client}) {
		const [status, members] = await Promise.all([client.status(), client.members()]);
		if (status.kind === 'failed') {
			return status;
		}

		return members.kind === 'failed'
			? members
			: report(statusText(status.value, members.value), {...status.value, members: members.value});
	},
};

function statusText({router, state, leaseAgeMs, inForce}: StatusReply, members: MemberReply[]): string {
	const behind = members.filter(member => member.revision < inForce.revision)
		.map(member => `  ${member.id} has revision ${member.revision}, heard ${ageText(member.heardAgeMs)}`);
	return [
		`revision ${inForce.revision} is in force on ${inForce.members} of ${inForce.of} routers`,
		...behind,
		`asked ${router}: ${state}, lease renewed ${ageText(leaseAgeMs)}`,
	].join('\n');
}
