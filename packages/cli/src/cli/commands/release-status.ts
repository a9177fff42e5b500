/*
`release status`: shows on how many routers the newest revision is in force, and which routers have an older one.
*/
import type {MemberReply, StatusReply} from '@shallotloom/core/operator-api.ts';
import {formatAge} from '../../table-text.ts';
import {createReport, type Command} from '../command.ts';

export const releaseStatus: Command = {
	usage: 'release status',
	describe: 'Show on how many routers the revision is in force',
	example: 'release status --json',
	async run({client}) {
		const [status, members] = await Promise.all([client.getStatus(), client.getMembers()]);
		if (status.kind === 'failed') {
			return status;
		}

		return members.kind === 'failed'
			? members
			: createReport(formatStatus(status.value, members.value), {...status.value, members: members.value});
	},
};

function formatStatus({router, state, leaseAgeMs, inForce}: StatusReply, members: MemberReply[]): string {
	const outdatedMembers = members.filter(member => member.revision < inForce.revision)
		.map(member => `  ${member.id} has revision ${member.revision}, heard ${formatAge(member.heardAgeMs)}`);
	return [
		`revision ${inForce.revision} is in force on ${inForce.members} of ${inForce.of} routers`,
		...outdatedMembers,
		`queried ${router}: ${state}, lease renewed ${formatAge(leaseAgeMs)}`,
	].join('\n');
}
